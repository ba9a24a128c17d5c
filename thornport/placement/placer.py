"""The decisions of a placer, without I/O: takes reports and times, returns commands."""

import heapq

import sortedcontainers

from thornport.kernel import clock
from thornport.placement import model

LEASE_MS = 5_000
RENEW_PERIOD_S = 1.0
COMMAND_TIMEOUT_S = 2.0

# A worker that has not reported for this long gets no renewals. The leases of its
# runs lapse, so that their tasks can start elsewhere.
SILENCE_S = 2.0

# A command sent just before a placer loses the right to decide reaches its worker
# within COMMAND_TIMEOUT_S, and the lease that it grants ends LEASE_MS later.
TAKEOVER_WAIT_S = (LEASE_MS / 1000 + COMMAND_TIMEOUT_S) * clock.CLOCK_RATE_MARGIN


class Placer:
    """Tracks workers, runs and tasks, and decides on commands to workers.

    Attributes:
      workers_by_address, runs_by_id, tasks_by_id: The state, by key.
      finished_jobs: The names of jobs whose tasks have all finished.
    """

    def __init__(self, incarnation):
        """Create a placer that knows no workers, runs or tasks.

        Args:
          incarnation: A str, the prefix of the ids of the runs that it starts.
        """
        self._incarnation = incarnation
        self._next_run = 0
        self._queue = []
        self._unfinished_by_job = {}
        self._workers_by_free = sortedcontainers.SortedKeyList(key=order_by_free)
        self.workers_by_address = {}
        self.runs_by_id = {}
        self.tasks_by_id = {}
        self.finished_jobs = set()

    def take_config(self, config):
        """Queue the tasks of the jobs that are new in the settings.

        Args:
          config: A compiling.Config.
        """
        for name, job in config.jobs_by_name.items():
            if name in self._unfinished_by_job or name in self.finished_jobs:
                continue
            price = config.tiers_by_name[job.tier].price
            needs = model.Resources(job.cores, job.memory_mb, job.accelerators)
            self._unfinished_by_job[name] = job.tasks
            for number in range(job.tasks):
                task_id = f"{name}/{number}"
                task = model.Task(task_id, name, price, needs, job.run_ms)
                self.tasks_by_id[task_id] = task
                self._enqueue(task)

    def take_report(self, address, report, now):
        """Update the state from the report of a worker.

        Args:
          address: A str, the address of the worker.
          report: A model.WorkerReport.
          now: A float on the monotonic clock.
        Returns:
          A list of commands.
        """
        worker = self.workers_by_address.get(address)
        total = model.Resources(report.cores, report.memory_mb, report.accelerators)
        if worker is None:
            worker = model.Worker(
                address, report.incarnation, report.rack, report.hall, total, now, total
            )
            self.workers_by_address[address] = worker
            self._workers_by_free.add(worker)
        if worker.total != total:
            gained = total.subtract(worker.total)
            self._set_free(worker, worker.free.add(gained))
            worker.total = total
        worker.reported_at = now
        commands = []
        if worker.incarnation != report.incarnation:
            commands += self._end_runs_of_old_incarnation(worker)
            worker.incarnation = report.incarnation
        for run_report in report.runs:
            commands += self._take_run_report(worker, run_report, now)
        return commands

    def _end_runs_of_old_incarnation(self, worker):
        """End the runs of a worker's earlier incarnation, which ended with it."""
        commands = []
        for run_id in list(worker.live_run_ids):
            run = self.runs_by_id[run_id]
            commands += self._end_run(run, model.RunState.LAPSED)
        return commands

    def _take_run_report(self, worker, report, now):
        run = self.runs_by_id.get(report.run_id)
        if run is None:
            return self._adopt(worker, report, now)
        if report.state in model.LIVE_STATES:
            return []
        return self._end_run(run, report.state)

    def _adopt(self, worker, report, now):
        """Adopt a run that an earlier placer started."""
        task = self.tasks_by_id.get(report.task_id)
        if report.state is model.RunState.FINISHED:
            return self._adopt_finished(task)
        if report.state not in model.LIVE_STATES:
            return []
        needs = model.Resources(report.cores, report.memory_mb, report.accelerators)
        run = model.Run(
            report.run_id,
            report.task_id,
            worker.address,
            needs,
            model.RunState.RUNNING,
            compute_lease_deadline(now),
        )
        self._reserve(worker, run)
        if task is None or task.state is not model.TaskState.PENDING:
            # The task has finished, has another run, or is not known to this
            # placer: this run is surplus.
            return [model.StopRun(worker.address, run.run_id)]
        task.state = model.TaskState.PLACED
        task.run_id = run.run_id
        return []

    def _adopt_finished(self, task):
        if task is None or task.state is not model.TaskState.PENDING:
            return []
        task.state = model.TaskState.FINISHED
        return self._count_finished(task)

    def _set_free(self, worker, free):
        """Set the free resources of a worker and keep the workers sorted."""
        self._workers_by_free.remove(worker)
        worker.free = free
        self._workers_by_free.add(worker)

    def _reserve(self, worker, run):
        self.runs_by_id[run.run_id] = run
        worker.live_run_ids.add(run.run_id)
        self._set_free(worker, worker.free.subtract(run.needs))

    def _end_run(self, run, state):
        """Release the resources of a run, and queue its task again or finish it."""
        if run.state not in model.LIVE_STATES:
            return []
        run.state = state
        worker = self.workers_by_address[run.worker]
        worker.live_run_ids.discard(run.run_id)
        self._set_free(worker, worker.free.add(run.needs))
        task = self.tasks_by_id.get(run.task_id)
        if task is None or task.run_id != run.run_id:
            return []
        task.run_id = ""
        if state is not model.RunState.FINISHED:
            task.state = model.TaskState.PENDING
            self._enqueue(task)
            return []
        task.state = model.TaskState.FINISHED
        return self._count_finished(task)

    def _count_finished(self, task):
        self._unfinished_by_job[task.job_name] -= 1
        if self._unfinished_by_job[task.job_name]:
            return []
        self.finished_jobs.add(task.job_name)
        return [model.JobFinished(task.job_name)]

    def _enqueue(self, task):
        heapq.heappush(self._queue, (-task.price, task.task_id))

    def end_lapsed_runs(self, now):
        """End the runs whose leases have lapsed at their workers for certain.

        Args:
          now: A float on the monotonic clock.
        """
        for run in list(self.runs_by_id.values()):
            if run.state in model.LIVE_STATES and now >= run.lease_deadline:
                self._end_run(run, model.RunState.LAPSED)

    def place(self, now):
        """Place pending tasks, highest price first.

        Args:
          now: A float on the monotonic clock.
        Returns:
          A list of model.StartRun.
        """
        commands = []
        waiting = []
        while self._queue:
            item = heapq.heappop(self._queue)
            task = self.tasks_by_id[item[1]]
            if task.state is not model.TaskState.PENDING:
                continue
            worker = self._choose_worker(task.needs, now)
            if worker is None:
                waiting.append(item)
                continue
            commands.append(self._start(task, worker, now))
        self._queue = waiting
        heapq.heapify(self._queue)
        return commands

    def _choose_worker(self, needs, now):
        """Choose the worker with the fewest free cores that fits and still reports.

        Workers are sorted by free cores, so only few are examined.
        """
        for worker in self._workers_by_free.irange_key((needs.cores,)):
            is_heard = now < worker.reported_at + SILENCE_S
            if is_heard and needs.fits(worker.free):
                return worker
        return None

    def _start(self, task, worker, now):
        self._next_run += 1
        task.attempts += 1
        run_id = f"{self._incarnation}-{self._next_run}"
        run = model.Run(
            run_id,
            task.task_id,
            worker.address,
            task.needs,
            model.RunState.STARTING,
            compute_lease_deadline(now),
        )
        self._reserve(worker, run)
        task.state = model.TaskState.PLACED
        task.run_id = run_id
        return model.StartRun(
            worker.address, task.task_id, run_id, task.needs, task.run_ms, LEASE_MS
        )

    def renew(self, now):
        """Renew the lease of every live run on workers that still report.

        Args:
          now: A float on the monotonic clock.
        Returns:
          A list of model.RenewLeases.
        """
        deadline = compute_lease_deadline(now)
        commands = []
        for worker in self.workers_by_address.values():
            is_silent = now >= worker.reported_at + SILENCE_S
            if is_silent or not worker.live_run_ids:
                continue
            for run_id in worker.live_run_ids:
                self.runs_by_id[run_id].lease_deadline = deadline
            run_ids = sorted(worker.live_run_ids)
            commands.append(model.RenewLeases(worker.address, run_ids, LEASE_MS))
        return commands


def compute_lease_deadline(now):
    """Compute when a lease granted or renewed by a command sent now ends at the latest.

    The command may take all of COMMAND_TIMEOUT_S to arrive. A report may end the run
    earlier.

    Args:
      now: A float on the monotonic clock.
    Returns:
      A float on the monotonic clock.
    """
    return now + TAKEOVER_WAIT_S


def order_by_free(worker):
    """Return the key that sorts workers by their free resources.

    Args:
      worker: A model.Worker.
    Returns:
      A tuple; the address makes the order deterministic.
    """
    return worker.free.cores, worker.free.memory_mb, worker.address
