"""What the parts of an owner's decisions share.

Each part is a class over this state with one duty; `core.CellCore` joins them.
"""

import collections

from thornport.cell.decisions import advising, asking, messages, shares, usage

# Lost workers that are remembered, to tell many that are lost at once: more than a rack
# has, and than an eighth of a large cell.
MAX_RECENT_LOSSES = 1024


class CellState:
    """All that an owner knows.

    Attributes:
      token: An int, the fencing token; it rises when a key that ran out is got back.
      confirmed_at: A float, when the last transaction that succeeded was sent.
      is_fenced: Whether a worker has seen a higher token: a successor decides.
      commands: Messages to carry out, emptied by `core.CellCore.take_commands`.
      notes: What is to be logged, emptied by `core.CellCore.take_notes`.
      dirty: Ids of jobs whose record is out of date, in order.
      forgotten: Ids of jobs whose records are to be removed, in order.
      jobs_by_id, workers_by_id: The state.
      callers: The advising.Callers.
      usage: The usage.Usage of the workspaces.
      needs_pass: Whether a round of placement could start more.
    """

    def __init__(self, token, now, earlier_over_at, status_s, overshoot=0.0):
        """Begin.

        Args:
          token: An int, the fencing token of this ownership.
          now: A float.
          earlier_over_at: A float, when all that earlier owners started at
            workers that do not answer is over.
          status_s: A float, how long callers ask for a job after its end.
          overshoot: A float, by what share of it the limit of a workspace may be
            passed.
        """
        self.token = token
        self._earlier_over_at = earlier_over_at
        self._status_s = status_s
        self._began_at = self.confirmed_at = now
        self.is_fenced = False
        self.commands = []
        self.notes = []
        self.dirty = {}
        # Jobs whose records are being kept: each is in one batch at a time.
        self._in_flight = set()
        self.forgotten = {}
        self.jobs_by_id = {}
        self.workers_by_id = {}
        self.callers = advising.Callers()
        self.usage = usage.Usage()
        self._overshoot = overshoot
        self._shares = shares.Shares()
        self._config_version = 0
        self._queues_by_name = {}
        self._services = frozenset()
        # model.ListedWorkers of services that no configuration names.
        self._unconfigured_by_id = {}
        self._next_order = 0
        self._last_fence = 0  # of the newest incarnation; see `incarnations`
        self._recent_losses = collections.deque(maxlen=MAX_RECENT_LOSSES)
        # Workers to which a task that may crash them was sent; see `crashes`.
        self._trial_ids = set()
        self._lossy_until = now  # answers of workers are being lost until then
        # placing.Candidates by kind of step, of whole services by name, and when they
        # were listed.
        self._candidates_by_kind = {}
        self._listed_at = now
        # Workers with ends that are not in the store yet: few of thousands at a time.
        self._unacked_ids = set()
        # Runs whose starts wait until their records are kept.
        self._recording = []
        # Runs whose records are kept and whose tickets have lapsed meanwhile, by step.
        self._unticketed = {}
        self._open_advice_by_step = {}
        # Calls for advice that were given up, the first since the last answer.
        self._late_advice_by_step = {}
        self._wanted_calls = asking.WantedCalls()
        self._advice_shares = asking.FairShares()
        # Jobs that are being kept, and jobs whose end is not decided.
        self._incoming_by_id = {}
        # learning.EarlyWords while the records are read, in order; None else.
        self._deferred_updates = None
        self._unended_by_id = {}
        # Whether waits under owners before are restored: the first tick tells the date.
        self._has_ticked = False
        self.needs_pass = False
        # The reserving.Reservations of the last round for all; None before the first.
        self._last_reserved = None
        # Rank and step to which the last round for all did not come first, or None.
        self._resume_at = None

    def _queue_of(self, job):
        """The queue as configured now, or as it was when the job was taken."""
        kept = job.record.queue
        return self._queues_by_name.get(kept.name, kept)

    def _charge_run(self, worker, run):
        """Count a run against the room of its worker and the limit of its workspace."""
        worker.add_run(run)
        job = self.jobs_by_id.get(run.key.job_id)
        self.usage.add(run, job.record.workspace if job is not None else "")

    def _find_step(self, key):
        """The model.StepState of a StepKey or TaskKey, or None."""
        job = self.jobs_by_id.get(key.job_id) or self._incoming_by_id.get(key.job_id)
        if job is None:
            return None
        return job.steps_by_key.get(messages.StepKey(key.job_id, key.time, key.step))

    def _mark_dirty(self, job):
        """Have the record of a job written anew."""
        self.dirty[job.job_id] = None
