"""Reports the state of jobs and workspaces, and why a step waits.

It answers people who ask why their job does not run, and makes no decisions.
"""

import collections
import enum

import msgspec

from thornport.cell.decisions import (
    eligibility,
    messages,
    passes,
    placing,
    reserving,
    stalls,
    ticketing,
    trials,
    usage,
)
from thornport.jobs import record, spec
from thornport.kernel import clock


class Waiting(enum.Enum):
    """Why tasks of a step wait."""

    NOTHING = "nothing"
    EARLIER_STEPS = "earlier steps"
    LIMIT = "what its workspace may have running"
    OVER_LIMIT = "a higher limit: it is wider than its workspace may ever run"
    NO_FIT = "no worker could ever hold a task"
    TOO_WIDE = "the workers that may run it could never hold the whole gang"
    ADVICE = "advice on which workers may run it"
    NOT_ADVISED = "a new worker: advice lets none of those there run it"
    TICKET = "a ticket anew"
    ROOM = "room"


class StepView(msgspec.Struct, frozen=True):
    """A step at one of its job's times.

    Attributes:
      tasks, done, live: Ints; a live task is commanded to start, running or being
        stopped.
      failures: An int, failed runs.
      crash_points: An int, the most evidence that a task of it crashes its workers.
      waits_for: A Waiting.
    """

    time: int
    step: int
    tasks: int
    done: int
    live: int
    failures: int
    crash_points: int
    waits_for: Waiting


class JobView(msgspec.Struct, frozen=True):
    """A job.

    Attributes:
      state: The record.JobState that callers see.
      cause: The record.FailureCause of a job that has failed; else None.
      steps: StepViews; none of a job that is over.
    """

    job_id: str
    queue: str
    state: record.JobState
    accepted_at_ms: int
    steps: tuple[StepView, ...] = ()
    cause: record.FailureCause | None = None
    workspace: str = ""


class LateStep(msgspec.Struct, frozen=True):
    """A step that still waits past the objective of its job.

    Attributes:
      key: Its messages.StepKey.
      waited_ms: An int, time since the owner learned of its job.
      waits_for: A Waiting.
      waiting: An int, its tasks without a run.
      suited: An int, workers that could hold a task if nothing else ran there.
      asked, good: Ints, workers that calls for advice named, and those that may run it.
      ticketed: An int, workers for which it has a valid ticket.
    """

    key: messages.StepKey
    waited_ms: int
    waits_for: Waiting
    waiting: int
    suited: int
    asked: int
    good: int
    ticketed: int


class WorkspaceView(msgspec.Struct, frozen=True):
    """A workspace.

    Attributes:
      weight: A float, its share in jobs a second; 0 if it has none.
      limit: Demand; None without a limit.
      used: Demand that counts against the limit.
      waiting: An int, its jobs of which no task has begun.
      at_limit: An int, its steps that wait because of the limit.
    """

    name: str
    weight: float
    limit: spec.Demand | None
    used: spec.Demand
    waiting: int
    at_limit: int


class Explaining(passes.Passes):
    """Answers questions about jobs and workspaces."""

    def list_workspaces(self):
        """List the workspaces that have a share, a limit or jobs.

        Returns:
          A list of WorkspaceView, ordered by name.
        """
        waiting = collections.Counter()
        at_limit = collections.Counter()
        for job in self._unended_by_id.values():
            name = job.record.workspace
            waiting[name] += not job.has_run
            steps = job.steps_by_key.values()
            at_limit[name] += sum(s.is_at_limit for s in steps if s.waiting)
        weight_by_name = self._shares.weight_by_name
        names = {*weight_by_name, *self.usage.list_names(), *waiting} - {""}
        return [
            WorkspaceView(
                name,
                weight_by_name.get(name, 0.0),
                self.usage.read_limit(name),
                self.usage.used_by_name.get(name, usage.NOTHING),
                waiting[name],
                at_limit[name],
            )
            for name in sorted(names)
        ]

    def take_late_steps(self, now):
        """Take the steps that wait past their job's objective, each once.

        Args:
          now: A float.
        Returns:
          A list of LateStep, without steps that wait for earlier ones.
        """
        late = []
        for job in self._unended_by_id.values():
            if job.record.job.repeats:
                continue
            waited_s = now - job.arrived_at
            if waited_s * 1000 < job.record.compute_objective_ms():
                continue
            for step in job.steps_by_key.values():
                if (
                    step.is_late_reported
                    or not step.waiting
                    or not self._are_dependencies_done(job, step)
                ):
                    continue
                step.is_late_reported = True
                late.append(self._view_late(job, step, waited_s, now))
        return late

    def _view_late(self, job, step, waited_s, now):
        suited = self._list_suited(step, self._queue_of(job))
        return LateStep(
            step.key,
            int(waited_s * 1000),
            self._find_waiting(job, step, now),
            len(step.waiting),
            len(suited),
            len(step.asked_ids),
            len(step.permitted_ids),
            sum(eligibility.has_ticket(step, worker, now) for worker in suited),
        )

    def take_stalls(self, now):
        """Take the stalled steps whose reasons are new or have changed.

        Args:
          now: A float.
        Returns:
          A list of stalls.Stall; further ones follow in the next calls.
        """
        taken = []
        checked = 0
        for job in self._unended_by_id.values():
            for step in job.steps_by_key.values():
                if not self._is_stalled(job, step, now):
                    step.reported_stall = frozenset()
                    continue
                if now < step.stall_due_at:
                    continue
                step.stall_due_at = now + stalls.REPORT_INTERVAL_S
                stall = self._view_stall(job, step, now)
                if stall.reasons != step.reported_stall:
                    step.reported_stall = stall.reasons
                    taken.append(stall)
                checked += 1
                if checked == stalls.MAX_REPORTED:
                    return taken
        return taken

    def _is_stalled(self, job, step, now):
        """Whether a step is stalled although its service has room."""
        if (
            not step.waiting
            or step.idle_since is None
            or not self._are_dependencies_done(job, step)
        ):
            return False
        if now - step.idle_since < stalls.REPORT_AFTER_S:
            return False
        listed = self._find_listed(self._queue_of(job).service)
        return step.spec.lasting or listed.used_share < stalls.FULL_SHARE

    def _view_stall(self, job, step, now):
        queue = self._queue_of(job)
        return stalls.Stall(
            step.key,
            int((now - step.idle_since) * clock.MS_PER_S),
            len(step.waiting),
            stalls.count_live(job),
            tuple(self._list_job_blockers(job, step, now)),
            self._count_worker_blockers(step, queue, now),
            stalls.compute_used_shares(self._find_listed(queue.service)),
        )

    def _list_job_blockers(self, job, step, now):
        """Yield the stalls.JobBlockers of a step."""
        if not self.usage.count_startable(step, job.record.workspace):
            yield stalls.JobBlocker.LIMIT
        if (
            self._resume_at is not None
            and self._rank((job, step)) >= self._resume_at[0]
        ):
            yield stalls.JobBlocker.PASSED_OVER
        if not trials.list_startable(step, self.workers_by_id, now):
            yield stalls.JobBlocker.TRIAL
        if step.is_advising:
            yield stalls.JobBlocker.ADVICE_OPEN
        if now < step.retry_advice_at:
            yield stalls.JobBlocker.ADVICE_FAILED

    def _count_worker_blockers(self, step, queue, now):
        """Count the workers that may run a step, by what blocks a start there.

        Workers that advice was asked about and that are not good may not run it.
        """
        needs_ticket = queue.advice is not None
        suited = self._list_suited(step, queue)[: ticketing.MAX_SCANNED_WORKERS]
        barred_ids = step.asked_ids - step.permitted_ids if needs_ticket else ()
        return dict(
            collections.Counter(
                stalls.find_worker_blocker(
                    step, worker, self._last_reserved, needs_ticket, now
                )
                for worker in suited
                if worker.worker_id not in barred_ids
            )
        )

    def explain_job(self, job_id, now):
        """Describe the progress of a job and what it waits for.

        Args:
          job_id: A str.
          now: A float.
        Returns:
          A JobView, or None for an unknown job.
        """
        job = self.jobs_by_id.get(job_id)
        if job is None:
            return None
        steps = [self._view_step(job, step, now) for step in job.steps_by_key.values()]
        return self._view_job(job, tuple(steps))

    def list_jobs(self, state=None):
        """List the known jobs.

        Args:
          state: A record.JobState to select; None for any.
        Returns:
          A list of JobView without steps, in the order of acceptance.
        """
        return [
            self._view_job(job)
            for job in self.jobs_by_id.values()
            if state is None or job.persisted_state is state
        ]

    def _view_job(self, job, steps=()):
        job_record = job.record
        return JobView(
            job.job_id,
            job_record.queue.name,
            job.persisted_state,
            job_record.accepted_at_ms,
            steps,
            job.cause if job.persisted_state is record.JobState.FAILED else None,
            job_record.workspace,
        )

    def _view_step(self, job, step, now):
        return StepView(
            step.key.time,
            step.key.step,
            step.spec.count,
            step.spec.count if step.is_done else len(step.done),
            len(step.live_by_index),
            sum(step.failures_by_index.values()),
            max(step.crash_evidence.suspicion_by_index.values(), default=0),
            self._find_waiting(job, step, now),
        )

    def _find_waiting(self, job, step, now):
        if not step.waiting or job.is_over():
            return Waiting.NOTHING
        if not self._are_dependencies_done(job, step):
            return Waiting.EARLIER_STEPS
        name = job.record.workspace
        if usage.exceeds_limit(step, self.usage.read_limit(name)):
            return Waiting.OVER_LIMIT
        if not self.usage.count_startable(step, name):
            return Waiting.LIMIT
        queue = self._queue_of(job)
        suited = self._list_suited(step, queue)
        if not suited:
            return Waiting.NO_FIT
        if queue.advice is not None:
            good = [w for w in suited if w.worker_id in step.permitted_ids]
            if not good:
                is_asked = all(w.worker_id in step.asked_ids for w in suited)
                return Waiting.NOT_ADVISED if is_asked else Waiting.ADVICE
            suited = good
        if step.spec.gang and placing.count_places(step, suited) < step.spec.count:
            return Waiting.TOO_WIDE
        if not placing.has_room(step, suited, reserving.Reservations(now)):
            return Waiting.ROOM
        if queue.advice is not None and not any(
            eligibility.has_ticket(step, worker, now) for worker in suited
        ):
            return Waiting.TICKET
        return Waiting.ROOM

    def _list_suited(self, step, queue):
        """List the workers that could hold a task if nothing else ran there."""
        return [
            worker
            for worker in self.workers_by_id.values()
            if worker.entry.service == queue.service
            and eligibility.has_label(step, worker)
            and step.spec.demand.fits(worker.entry.total)
        ]
