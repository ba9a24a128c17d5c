"""The world that the tests of the owner's decisions run in, in simulated time.

One store that keeps what a batch holds, some workers by the platform's rules, and
owners that replace one another. What the users are promised is checked at each
start, and of cancelled jobs at each step. It stands apart from `core_test` and
`ending_test`, which say what is to come of each case.

Here are the store, the owners and the time. `worldlives` has the workers, `worldcalls`
the calls to them and the faults, `worldchecks` the promises, `worldjobs` what is handed
in; tests find what they use of these under its name here.
"""

from standins import gangs, leased_worker
from tests import worldcalls, worldchecks, worldjobs, worldlives
from thornport.cell.decisions import core, leases
from thornport.jobs import queue, record, spec, workspace

STEP_S = 0.05

messages = worldlives.messages
Faults = worldcalls.Faults
QUEUE = worldjobs.QUEUE
CONFIG = worldjobs.CONFIG
make_job = worldjobs.make_job
make_step = worldjobs.make_step


class World(worldlives.Lives, worldcalls.Calls, worldchecks.Checks):
    """A store, workers and the owners of a cell, in simulated time.

    Attributes:
      now: A float, the time.
      owner: The core.CellCore that decides.
      cancelled: Times of the acknowledged cancels by job id.
      config: The queue.Config in force.
      gangs: The gangs.Gangs at its workers.
      limits: Pairs of a time and the limits from then on, in millicores by workspace.
    """

    def __init__(
        self,
        faults,
        worker_count=3,
        clock_rate=1.0,
        looks_wait=False,
        states_starts=True,
        max_hold_ms=leased_worker.MAX_HOLD_MS,
    ):
        """Begin.

        Args:
          faults: A Faults.
          worker_count: An int.
          clock_rate: A float, how fast the clocks of workers run.
          looks_wait: A bool, whether looks wait for ends as they ask to; else each is
            answered at once.
          states_starts: A bool, whether workers say when they started.
          max_hold_ms: An int, the longest lease that workers grant.
        """
        self.now = 100.0
        self.config = worldjobs.CONFIG
        self.limits = [(self.now, {})]
        self.jobs_by_id = {}
        self.submitted_by_id = {}
        self.progress_by_id = {}
        self.cancelled = {}
        self.token = 0
        self.noted_done = set()
        self.is_store_away = False
        self.gangs = gangs.Gangs()
        self._set_up_calls(faults, looks_wait)
        self.max_hold_ms = max_hold_ms
        self._set_up_lives(worker_count, clock_rate, states_starts)
        self.owner = None
        # When the owner sent its last command; None while it decides.
        self._ceased_at = None
        self.take_over()

    def take_over(self, is_known_gone=True, tells_lapses=None):
        """A new owner reads what is kept; the earlier one is no more.

        Args:
          is_known_gone: A bool, whether each earlier one could tell that it has ceased,
            and when: as `run_without_owner` began, else now.
          tells_lapses: A bool, whether the last one could tell when what it leased is
            over; None for as `is_known_gone`.
        """
        if tells_lapses is None:
            tells_lapses = is_known_gone
        earlier = self.owner
        self.token += 1
        self.open_looks.clear()
        self.owner = core.CellCore(
            self.token,
            self.now,
            self.now + 17.0,
            120.0,
            lease_bounds=leases.LeaseBounds(self.max_hold_ms),
        )
        self.owner.take_config(self.config, self.now)
        for worker_id in sorted(self.workers_by_id.keys() - self.entries_by_id.keys()):
            if worker_id not in self.unlisted | set(self._unlisted_lives):
                self.list_worker(worker_id)
        for _, (entry, revision) in sorted(self.entries_by_id.items()):
            self.owner.take_worker(entry, revision, self.now)
        for kept in self.jobs_by_id.values():
            self.owner.take_job(kept, self.now)
        for job_id, value in self.progress_by_id.items():
            kept = record.decode_progress(value)
            self.owner.restore_progress(job_id, kept, self.now)
        for job_id in self.cancelled:
            self.owner.take_cancel(job_id, self.now)
        # The earlier owner is no more; what it sent may still arrive.
        if tells_lapses and earlier is not None:
            self.owner.take_lapses(earlier.list_lapses())
        if is_known_gone:
            ceased_at = self.now if self._ceased_at is None else self._ceased_at
            self.owner.note_earlier_owners_gone(ceased_at, self.now)

    def put_limits(self, **cores_by_name):
        """Put a version in force in which workspaces may have so many cores."""
        limits = {name: cores * 1000 for name, cores in cores_by_name.items()}
        self.limits.append((self.now, limits))
        none = workspace.UNLIMITED
        kept = [
            workspace.Workspace(name, limit=spec.Demand(millicores, none, none))
            for name, millicores in limits.items()
        ]
        self.config = queue.Config(
            self.config.version + 1,
            (worldjobs.QUEUE,),
            workspaces=workspace.Workspaces(kept),
        )
        self.owner.take_config(self.config, self.now)

    def submit(self, kept):
        """Keep a job and tell the owner."""
        self.jobs_by_id[kept.job_id] = self.submitted_by_id[kept.job_id] = kept
        self.owner.take_job(kept, self.now)

    def cancel(self, job_id):
        """Keep a cancel and tell the owner."""
        self.cancelled.setdefault(job_id, self.now)
        self.owner.take_cancel(job_id, self.now)

    def step(self):
        """Let a little time pass."""
        self._ceased_at = None
        self._pass_time()
        self.owner.tick(self.now, int(self.now * 1000))
        for worker_id in list(self.owner.workers_by_id):
            self._look(worker_id)
        self._keep()
        self.owner.place(self.now)
        self._keep()
        self._carry_out()
        if self.faults.lost or self.faults.late or self.is_store_away:
            self.calm_from = self.now
        self.check_noted()
        self.check_cancelled()
        self.check_usage()

    def _pass_time(self):
        self.now += STEP_S
        self.gangs.advance(self.workers_by_id.values(), self.now)
        for worker in self.workers_by_id.values():
            worker.advance(self.now)
        doomed, self._doomed = self._doomed, []
        for worker_id in doomed:
            if worker_id in self.workers_by_id:
                self.crash_for_a_while(worker_id)
        self._return_lives()
        self._do_late_calls()

    def run_without_owner(self, seconds):
        """Let time pass while the owner is gone and has no successor yet."""
        if self._ceased_at is None:
            self._ceased_at = self.now
        for _ in range(int(seconds / STEP_S)):
            self._pass_time()

    def run(self, seconds):
        """Let time pass."""
        for _ in range(int(seconds / STEP_S)):
            self.step()

    def _keep(self):
        if self.is_store_away:
            return
        self.owner.take_persisted(None, self.now, self.now)
        while (batch := self.owner.make_batch()) is not None:
            self.progress_by_id.update(batch.progress_by_job)
            for job_id, value in batch.closed_by_job.items():
                self.jobs_by_id[job_id] = record.decode_job(value)
                self.progress_by_id.pop(job_id, None)
            self.owner.take_persisted(batch, self.now, self.now)

    def read_states(self):
        """The states that callers are shown, by job id."""
        return {
            job_id: self.owner.read_state(job_id).value for job_id in self.jobs_by_id
        }
