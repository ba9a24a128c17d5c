"""Batches of records: a start goes out only once its record is kept.

So a successor knows each worker that may run a task. A store that is slow may keep a
record for longer than a ticket holds. The run then stays where it was decided and its
start is sent under the next ticket: decided and recorded anew, it would be as late
again, and nothing that needs advice would start for as long as the store is slow.
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

# Of a transaction's 32 entries, two are conditions and one the head; a job that is
# over takes two: its own key is written, its progress removed.
MAX_BATCH_JOBS = 14
KEYS_PER_FORGOTTEN_JOB = (
    3  # of a job that is forgotten: its own, its cancel's, its progress'
)
# A start waits so long for its next ticket, two calls of the longest kind; its room may
# serve others then.
TICKET_WAIT_S = 3.0


class DecidedState(msgspec.Struct, frozen=True):
    """The state of a job that is shown once it is kept."""

    job_id: str
    state: record.JobState
    cause: record.FailureCause | None = None


class Batch(msgspec.Struct, frozen=True):
    """What one transaction keeps.

    Attributes:
      progress_by_job: Bytes by job id.
      runs: The Runs whose starts may go out once this is kept.
      states: DecidedStates of the jobs.
      forgotten: Ids of jobs whose records are removed.
      closed_by_job: What stands for jobs that are over, bytes by job id; their
        progress is removed.
    """

    progress_by_job: dict[str, bytes]
    runs: list[model.Run]
    states: list[DecidedState]
    forgotten: list[str]
    closed_by_job: dict[str, bytes] = {}


class Batches(incarnations.Incarnations, ticketing.Ticketing):
    """Makes the batches and sends the starts that they keep."""

    def make_batch(self):
        """Take the next records to keep.

        Returns:
          A Batch, or None when there is nothing to keep.
        """
        free = (job_id for job_id in self.dirty if job_id not in self._in_flight)
        job_ids = list(itertools.islice(free, MAX_BATCH_JOBS))
        if not job_ids and not self.forgotten:
            return None
        for job_id in job_ids:
            del self.dirty[job_id]
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
        """Take the runs of some jobs off those whose record is to be kept."""
        runs = [run for run in self._recording if run.key.job_id in job_ids]
        self._recording = [r for r in self._recording if r.key.job_id not in job_ids]
        return runs

    def _take_forgotten(self, count):
        """Take the first IDs of jobs that are to be forgotten."""
        job_ids = list(self.forgotten)[:count]
        for job_id in job_ids:
            del self.forgotten[job_id]
        return job_ids

    def take_persisted(self, batch, sent_at, now):
        """Take that a batch is in the store: its starts may go out.

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
                self._ack_ends(worker)
            if worker is None or not worker.unpersisted_ends:
                self._unacked_ids.discard(worker_id)

    def _ack_ends(self, worker):
        """Let a worker forget the ends that are in the store."""
        while worker.unpersisted_ends:
            end = worker.unpersisted_ends[0]
            if end.job_id in self.dirty or end.job_id in self._in_flight:
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
        """As `ticketing` takes it; then send the starts that waited for the tickets.

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
        """Release the runs of a step at workers that advice has no tickets for."""
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
        """Send the starts of runs whose records are kept, or have them wait.

        Args:
          runs: A list of model.Run.
          now: A float.
        """
        runs_by_step = collections.defaultdict(list)
        for run in runs:
            runs_by_step[run.step_key].append(run)
        for alike in runs_by_step.values():
            self._release_unfit(alike, now)
            # A gang that is released is released as a whole.
            alike = [run for run in alike if run.state is model.RunState.RECORDING]
            self._send_alike(alike, now)

    def _recheck_awaited(self, now):
        """Look again at the runs that wait for tickets: a version may forbid them.

        Args:
          now: A float.
        """
        for key, runs in list(self._unticketed.items()):
            self._release_unfit(runs, now)
            job = self.jobs_by_id.get(key.job_id)
            if job is not None and self._queue_of(job).advice is None:
                self._send_starts(self._unticketed.pop(key), now)

    def _release_unfit(self, runs, now):
        """Release the runs that may not start any more where they were to.

        Args:
          runs: A list of model.Run.
          now: A float.
        """
        for run in runs:
            if run.state is model.RunState.RECORDING and self._is_unfit(run):
                self._release_run(run, now)

    def _is_unfit(self, run):
        """Whether a worker leaves, lost room or restarted, or a version forbids a run.

        Keeping the record, and the wait for a ticket, take their time.
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

    def _send_alike(self, runs, now):
        """Send the starts of runs of one step whose tickets hold; the others wait.

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
        """Whether a run needs a ticket, and the one at hand has lapsed."""
        job = self.jobs_by_id[run.key.job_id]
        if self._queue_of(job).advice is None:
            return False
        step = self._find_step(run.key)
        return now > step.read_ticket_deadline(run.worker_id)

    def _await_ticket(self, run, now):
        """Keep a run for its next ticket, which the next round asks for."""
        if run.ticket_until is None:
            run.ticket_until = now + TICKET_WAIT_S
        self._unticketed.setdefault(run.step_key, []).append(run)
        self.needs_pass = True

    def _send_start(self, run, now):
        worker = self.workers_by_id[run.worker_id]
        job = self.jobs_by_id[run.key.job_id]
        step = self._find_step(run.key)
        ticket, _ = step.tickets_by_worker.get(run.worker_id, model.NO_TICKET)
        run.state = model.RunState.ORDERED
        run.commanded_at = run.known_since = run.percent_at = now
        self.commands.append(
            messages.StartOrder(
                run.worker_id,
                worker.entry.address,
                run.key,
                run.run,
                job.record.job.text,
                leases.extend(worker, now),
                self.make_token(worker),
                step.checkpoints_by_index.get(step.index_for(run.key.index), ""),
                ticket,
            )
        )


def filter_recording(runs_by_step):
    """Leave out the runs whose starts were sent or will not be.

    Args:
      runs_by_step: Lists of model.Run by messages.StepKey.
    Returns:
      The same of the others.
    """
    kept = {}
    for key, runs in runs_by_step.items():
        awaited = [run for run in runs if run.state is model.RunState.RECORDING]
        if awaited:
            kept[key] = awaited
    return kept


def encode_progress(jobs):
    """Encode the progress of the jobs that go on.

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
    """Encode what stands for the jobs that are over.

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
