"""Batches of records: a start is sent only once its record is persisted.

So a successor knows each worker that may run a task. A slow store may take longer to
persist a record than a ticket is valid. The run then stays assigned to its worker, and
its start is sent with the next ticket: if it were placed and recorded anew, it would be
as late again, and nothing that needs advice would start while the store is slow.
"""

import collections
import itertools

import msgspec

from thornport.cell.decisions import (
    incarnations,
    leases,
    messages,
    model,
    notes,
    progress,
    ticketing,
)
from thornport.jobs import record

# A transaction has 32 entries: two are conditions and one is the head. A job that is
# over takes two of the rest: its own key is written, its progress removed.
MAX_BATCH_JOBS = 14
KEYS_PER_FORGOTTEN_JOB = 3  # its record, its cancel and its progress
# How long a start waits for its next ticket: two of the longest calls for advice. Its
# capacity is then released for others.
TICKET_WAIT_S = 3.0


class DecidedState(msgspec.Struct, frozen=True):
    """The state of a job that becomes visible once it is persisted."""

    job_id: str
    state: record.JobState
    cause: record.FailureCause | None = None


class Batch(msgspec.Struct, frozen=True):
    """What one transaction persists.

    Attributes:
      progress_by_job: Bytes by job id.
      runs: The Runs whose starts may be sent once the batch is persisted.
      states: DecidedStates of the jobs.
      forgotten: Ids of jobs whose records are removed.
      closed_by_job: Closing records of jobs that are over, bytes by job id; their
        progress is removed.
    """

    progress_by_job: dict[str, bytes]
    runs: list[model.Run]
    states: list[DecidedState]
    forgotten: list[str]
    closed_by_job: dict[str, bytes] = {}


class Batches(incarnations.Incarnations, ticketing.Ticketing):
    """Makes the batches and sends the starts whose records they persist."""

    def make_batch(self):
        """Take the next records to persist.

        Returns:
          A Batch, or None when there is nothing to persist.
        """
        free = (job_id for job_id in self.dirty if job_id not in self._in_flight)
        job_ids = list(itertools.islice(free, MAX_BATCH_JOBS))
        if not job_ids and not self.forgotten:
            return None
        for job_id in job_ids:
            del self.dirty[job_id]
            self._record_due_by_job.pop(job_id, None)
        jobs = [self.jobs_by_id[j] for j in job_ids if j in self.jobs_by_id]
        self._in_flight |= {job.job_id for job in jobs}
        return Batch(
            encode_progress(jobs),
            self._take_recording(set(job_ids)),
            [DecidedState(job.job_id, job.state, job.cause) for job in jobs],
            self._take_forgotten(
                (MAX_BATCH_JOBS - len(jobs)) // KEYS_PER_FORGOTTEN_JOB
            ),
            encode_closed(jobs),
        )

    def _take_recording(self, job_ids):
        """Take the runs of some jobs out of those whose record is to be persisted."""
        runs = [run for run in self._recording if run.key.job_id in job_ids]
        self._recording = [r for r in self._recording if r.key.job_id not in job_ids]
        return runs

    def _take_forgotten(self, count):
        """Take the first ids of jobs whose records are to be removed."""
        job_ids = list(self.forgotten)[:count]
        for job_id in job_ids:
            del self.forgotten[job_id]
        return job_ids

    def take_persisted(self, batch, sent_at, now):
        """Note that a batch is persisted, so its starts may be sent.

        Args:
          batch: The Batch, or None when only the ownership was confirmed.
          sent_at: A float, when the transaction was sent.
          now: A float.
        """
        self.confirmed_at = max(self.confirmed_at, sent_at)
        if batch is not None:
            self._take_persisted_jobs(batch, now)
        for worker_id in list(self._unacked_ids):
            worker = self.workers_by_id.get(worker_id)
            if worker is not None:
                self._ack_ends(worker, now)
            if worker is None or not worker.unpersisted_ends:
                self._unacked_ids.discard(worker_id)

    def _ack_ends(self, worker, now):
        """Acknowledge the ends that are persisted, so a worker may forget them."""
        worker.has_withheld_ends = False
        while worker.unpersisted_ends:
            end = worker.unpersisted_ends[0]
            job_id = end.key.job_id
            if job_id in self.dirty or job_id in self._in_flight:
                return
            if self._is_end_withheld(end.key, now):
                worker.has_withheld_ends = True
                return
            worker.acked_number = end.number
            worker.unpersisted_ends.popleft()

    def _take_persisted_jobs(self, batch, now):
        for decided in batch.states:
            self._in_flight.discard(decided.job_id)
            job = self.jobs_by_id.get(decided.job_id)
            if job is None:
                continue
            job.persisted_state = decided.state
            if job.persisted_state in record.FINAL_STATES and job.ended_at is None:
                job.ended_at = now
            if job.job_id not in self.dirty and progress.is_closed(job):
                job.close()
        self._send_starts(batch.runs, now)

    def take_advice(self, request, answer, now):
        """Take it as `ticketing` does, then send the starts that waited for tickets.

        Args:
          request, answer, now: As there.
        """
        super().take_advice(request, answer, now)
        if answer is None:
            return
        awaited = self._unticketed.pop(request.step, [])
        self._release_refused(awaited, now)
        self._send_starts(awaited, now)

    def _release_refused(self, runs, now):
        """Release the runs of a step at workers that advice issued no tickets for."""
        for run in runs:
            if run.state is not model.RunState.RECORDING:
                continue
            step = self._find_step(run.key)
            if run.worker_id not in step.permitted_ids:
                self._release_run(run, now)

    def _give_up_starts(self, now):
        """Release the runs whose next tickets have not come in time."""
        for run in itertools.chain.from_iterable(self._unticketed.values()):
            is_awaited = run.state is model.RunState.RECORDING
            if is_awaited and now >= run.ticket_until:
                self.notes.append(notes.StartGivenUp(run.key, run.run, run.worker_id))
                self._release_run(run, now)
        self._unticketed = filter_recording(self._unticketed)

    def _send_starts(self, runs, now):
        """Send the starts of runs whose records are persisted, or let them wait.

        Args:
          runs: A list of model.Run.
          now: A float.
        """
        runs_by_step = collections.defaultdict(list)
        for run in runs:
            runs_by_step[run.step_key].append(run)
        for step_runs in runs_by_step.values():
            self._release_unfit(step_runs, now)
            # A gang is released as a whole.
            step_runs = [
                run for run in step_runs if run.state is model.RunState.RECORDING
            ]
            self._send_step_starts(step_runs, now)

    def _recheck_awaited(self, now):
        """Recheck the runs that wait for tickets: a new version may forbid them.

        Args:
          now: A float.
        """
        for key, runs in list(self._unticketed.items()):
            self._release_unfit(runs, now)
            job = self.jobs_by_id.get(key.job_id)
            if job is not None and self._queue_of(job).advice is None:
                self._send_starts(self._unticketed.pop(key), now)

    def _release_unfit(self, runs, now):
        """Release or stop the runs that may no longer start at their workers.

        Args:
          runs: A list of model.Run.
          now: A float.
        """
        for run in runs:
            if run.state is model.RunState.RECORDING and self._is_unfit(run):
                self._stop_run(run, now)

    def _is_unfit(self, run):
        """Whether a run may not start where it was placed, for its worker or a version.

        While its record is persisted or its ticket awaited, the worker may leave, lose
        capacity or restart, and a new version may forbid the run.
        """
        job = self.jobs_by_id[run.key.job_id]
        worker = self.workers_by_id[run.worker_id]
        return (
            worker.entry.state is not messages.WorkerState.READY
            or not worker.is_listed
            or not worker.has_own_entry()
            or not worker.used.fits(worker.entry.total)
            or worker.entry.service != self._queue_of(job).service
            or self.usage.is_over_limit(job.record.workspace)
        )

    def _send_step_starts(self, runs, now):
        """Send the starts of runs of one step with valid tickets; the others wait.

        Members of a gang end if they wait long for the others, so all start or none.
        """
        late = [run for run in runs if self._is_late(run, now)]
        if late and runs[0].step.gang:
            late = runs
        for run in runs:
            if run in late:
                self._await_ticket(run, now)
            else:
                self._send_start(run, now)

    def _is_late(self, run, now):
        """Whether a run needs a ticket and its present one has lapsed."""
        job = self.jobs_by_id[run.key.job_id]
        if self._queue_of(job).advice is None:
            return False
        step = self._find_step(run.key)
        return now > step.read_ticket_deadline(run.worker_id)

    def _await_ticket(self, run, now):
        """Hold a run for its next ticket, which the next scheduling pass requests."""
        if run.ticket_until is None:
            run.ticket_until = now + TICKET_WAIT_S
        self._unticketed.setdefault(run.step_key, []).append(run)
        self.needs_pass = True

    def _send_start(self, run, now):
        worker = self.workers_by_id[run.worker_id]
        job = self.jobs_by_id[run.key.job_id]
        step = self._find_step(run.key)
        ticket, _ = step.tickets_by_worker.get(run.worker_id, model.NO_TICKET)
        checkpoint = step.checkpoints_by_index.get(step.index_for(run.key.index), "")
        run.is_resumed = bool(checkpoint)
        run.state = model.RunState.ORDERED
        run.commanded_at = run.known_since = run.percent_at = now
        self._note_start_sent(run, ticket, now)
        deadline_ms = self.lease_bounds.extend(worker, now, leases.START_LEASE_MS)
        worker.open_calls.note_sent((run.key, run.run), deadline_ms, now)
        self.commands.append(
            messages.StartOrder(
                run.worker_id,
                worker.entry.address,
                run.key,
                run.run,
                job.record.job.text,
                deadline_ms,
                self.make_token(worker),
                checkpoint,
                ticket,
                worker.started_at_ms,
            )
        )


def filter_recording(runs_by_step):
    """Keep only the runs whose starts are still to be sent.

    Args:
      runs_by_step: Lists of model.Run by messages.StepKey.
    Returns:
      Lists of the remaining model.Run by messages.StepKey.
    """
    remaining = {}
    for key, runs in runs_by_step.items():
        awaited = [run for run in runs if run.state is model.RunState.RECORDING]
        if awaited:
            remaining[key] = awaited
    return remaining


def encode_progress(jobs):
    """Encode the progress of the jobs that are not closed.

    Args:
      jobs: A list of model.JobEntry.
    Returns:
      A dict of bytes by job id.
    """
    return {
        job.job_id: record.encode_record(progress.make_progress(job))
        for job in jobs
        if not progress.is_closed(job)
    }


def encode_closed(jobs):
    """Encode the closing records of the jobs that are over.

    Args:
      jobs: A list of model.JobEntry.
    Returns:
      A dict of bytes by job id.
    """
    return {
        job.job_id: record.encode_record(
            record.close_job(job.record, job.state, job.cause)
        )
        for job in jobs
        if progress.is_closed(job)
    }
