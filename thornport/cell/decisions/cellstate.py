"""The state that the parts of an owner's decisions share.

Each part is a class over this state with one duty; `core.CellCore` combines them.
"""

import collections
import math

from thornport.cell.decisions import (
    advising,
    asking,
    evidence,
    leases,
    messages,
    shares,
    usage,
)
from thornport.cell.decisions.contention import durations, prospects, speeds
from thornport.kernel import clock

# Recently lost workers that are remembered, to estimate how often workers are lost:
# more than a large cell loses at one moment.
MAX_RECENT_LOSSES = 1024


class CellState:
    """All that an owner knows.

    Attributes:
      token: An int, the fencing token; it rises when an expired key is claimed again.
      confirmed_at: A float, when the last successful transaction was sent.
      is_fenced: Whether a worker has seen a higher token, so that a successor decides.
      commands: Messages to carry out, emptied by `core.CellCore.take_commands`.
      notes: What is to be logged, emptied by `core.CellCore.take_notes`.
      dirty: Ids of jobs whose records are out of date, in order.
      forgotten: Ids of jobs whose records are to be removed, in order.
      jobs_by_id, workers_by_id: The model.JobEntry and model.Worker by id.
      callers: The advising.Callers.
      usage: The usage.Usage of the workspaces.
      speeds: The speeds.Speeds of the machines.
      lease_bounds: The leases.LeaseBounds.
      needs_pass: Whether a scheduling pass could start more.
    """

    def __init__(
        self,
        token,
        now,
        earlier_over_at,
        status_s,
        overshoot=0.0,
        stop_s=None,
        lease_bounds=None,
    ):
        """Initialize the state.

        Args:
          token: An int, the fencing token of this ownership.
          now: A float.
          earlier_over_at: A float, when all runs that earlier owners started at
            workers that do not answer are over.
          status_s: A float, how long callers may read a job's state after its end.
          overshoot: A float, the share of a workspace's limit by which usage may
            exceed it.
          stop_s: A float, how long a worker takes to stop and save a run at most; None
            if that is not known, and no run is stopped for another.
          lease_bounds: The leases.LeaseBounds; None if workers grant no longer leases
            than owners.
        """
        self.token = token
        self._earlier_over_at = earlier_over_at
        self._status_s = status_s
        self._began_at = self.confirmed_at = now
        self.is_fenced = False
        self.commands = []
        self.notes = []
        self.dirty = {}
        # Jobs whose records are being persisted: each is in one batch at a time.
        self._in_flight = set()
        self.forgotten = {}
        self.jobs_by_id = {}
        self.workers_by_id = {}
        self.callers = advising.Callers()
        self.usage = usage.Usage()
        self._overshoot = overshoot
        self._stop_s = stop_s
        self.lease_bounds = lease_bounds or leases.LeaseBounds(leases.MAX_LEASE_MS)
        self._shares = shares.Shares()
        self._durations = durations.Durations()
        self.speeds = speeds.Speeds()
        self._config_version = 0
        self._queues_by_name = {}
        self._services = frozenset()
        # model.ListedWorkers of services that no configuration names.
        self._unconfigured_by_id = {}
        self._next_order = 0
        self._last_fence = 0  # of the newest incarnation; see `incarnations`
        # opencalls.OpenCalls by worker id: they outlive an incarnation, and the time
        # in which its id is not known.
        self.open_calls_by_id = {}
        # losses.HostLosses by the host of the workers.
        self._losses_by_host = {}
        self._unproven = evidence.UnprovenLosses()
        self._recent_losses = collections.deque(maxlen=MAX_RECENT_LOSSES)
        # Workers to which a task that may crash them was sent; see `crashes`.
        self._trial_ids = set()
        self._lossy_until = now  # until then, answers of workers are being lost
        # placing.Candidates by kind of step, those of whole services by name, and when
        # they were listed.
        self._candidates_by_kind = {}
        self._listed_at = now
        # Workers with ends not persisted yet: few of thousands at a time.
        self._unacked_ids = set()
        # Runs whose starts wait until their records are persisted.
        self._recording = []
        # Runs with persisted records whose tickets have lapsed meanwhile, by step.
        self._unticketed = {}
        self._open_paces = 0  # pace commands on their way
        # Runs that are over, of which a start may still arrive, by TaskKey.
        self._late_runs_by_key = {}
        # When the records of jobs are due to say that runs of theirs have begun.
        self._record_due_by_job = {}
        self._open_advice_by_step = {}
        # Calls for advice that were given up: the first one since the last answer.
        self._late_advice_by_step = {}
        self._wanted_calls = asking.WantedCalls()
        # StepKeys of steps with runs at silent workers; see `lapsing`.
        self._lapsing_keys = frozenset()
        self._advice_shares = asking.FairShares()
        # Jobs being accepted; `_unended_by_id` has the jobs whose end is not decided.
        self._incoming_by_id = {}
        # learning.DeferredUpdates while the records are read, in order; None otherwise.
        self._deferred_updates = None
        self._unended_by_id = {}
        # Whether waits under earlier owners are restored: the first tick does it, as it
        # brings the wall-clock time.
        self._has_ticked = False
        # Milliseconds since 1970 at time 0 of this process's clock; None before a tick.
        self._wall_origin_ms = None
        self.needs_pass = False
        # The reserving.Reservations of the last full scheduling pass; None before it.
        self._last_reserved = None
        # Rank and first step that the last full scheduling pass did not reach, or None.
        self._resume_at = None

    def _queue_of(self, job):
        """The queue as configured now, or else as it was when the job was accepted."""
        accepted = job.record.queue
        return self._queues_by_name.get(accepted.name, accepted)

    def _read_wall_ms(self, now):
        """Read a time in milliseconds since 1970, an int; 0 if it is not known yet."""
        if self._wall_origin_ms is None:
            return 0
        return self._wall_origin_ms + int(now * clock.MS_PER_S)

    def _read_long_lease_ms(self, worker, now):
        """Read until when a worker's lease may be a long one, for the record of a run.

        Returns:
          An int, milliseconds since 1970; 0 if its lease is not a long one.
        """
        until = leases.find_long_until(worker, now)
        return self._read_wall_ms(until) if until > now else 0

    def _charge_run(self, worker, run):
        """Count a run against its worker's capacity and its workspace's limit."""
        worker.add_run(run)
        job = self.jobs_by_id.get(run.key.job_id)
        self.usage.add(run, job.record.workspace if job is not None else "")

    def _find_step(self, key):
        """The model.StepState of a StepKey or TaskKey, or None."""
        job = self.jobs_by_id.get(key.job_id) or self._incoming_by_id.get(key.job_id)
        if job is None:
            return None
        return job.steps_by_key.get(messages.StepKey(key.job_id, key.time, key.step))

    def _note_run_begun(self, run):
        """Note that a run is known to have begun, for its job too."""
        if not run.has_begun:
            job = self.jobs_by_id.get(run.key.job_id)
            if job is not None:
                job.has_run = True
        run.note_begun()

    def _update_bounds(self, job):
        """Update until when the waiting tasks of a job may start.

        Repetitions have due times of their own, which no backlog delays for long. A job
        that is over may lack the steps of which nothing runs.
        """
        if job.record.job.repeats or job.is_over():
            return
        steps = [job.steps_by_key[key] for key in job.list_step_keys(0)]
        name = job.record.queue.name
        for step in steps:
            step.usual_s = self._durations.predict_s(name, step.spec.estimate_ms)
        job.bounds = prospects.compute_bounds(
            steps,
            job.accepted_at,
            self._queue_of(job),
        )
        # A step that is done may have moved the bounds either way.
        job.prospect_until = -math.inf

    def _mark_dirty(self, job):
        """Have the record of a job written again."""
        self.dirty[job.job_id] = None
