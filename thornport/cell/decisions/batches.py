"""Batches of records: a start goes out only once its record is kept.

So a successor knows each worker that may run a task.
"""

import itertools

import msgspec

from thornport.cell.decisions import leases, lives, messages, model, progress
from thornport.jobs import record

# Of a transaction's 32 entries, two are conditions and one the head; a job that is
# over takes two: its own key is written, its progress removed.
BATCH_JOBS = 14
FORGOTTEN_KEYS = 3  # of a job that is forgotten: its own, its cancel's, its progress'


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


class Batches(lives.Lives):
    """Makes the batches and sends the starts that they keep."""

    def make_batch(self):
        """Take the next records to keep.

        Returns:
          A Batch, or None when there is nothing to keep.
        """
        free = (job_id for job_id in self.dirty if job_id not in self._in_flight)
        job_ids = list(itertools.islice(free, BATCH_JOBS))
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
            self._take_forgotten((BATCH_JOBS - len(jobs)) // FORGOTTEN_KEYS),
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

    def take_kept(self, batch, sent_at, now):
        """Take that a batch is in the store: its starts may go out.

        Args:
          batch: The Batch, or None when only the ownership was confirmed.
          sent_at: A float, when the transaction was sent.
          now: A float.
        """
        self.confirmed_at = max(self.confirmed_at, sent_at)
        if batch is not None:
            self._take_kept_jobs(batch, now)
        for worker_id in list(self._unacked_ids):
            worker = self.workers_by_id.get(worker_id)
            if worker is not None:
                self._ack_ends(worker)
            if worker is None or not worker.unkept_ends:
                self._unacked_ids.discard(worker_id)

    def _ack_ends(self, worker):
        """Let a worker forget the ends that are in the store."""
        while worker.unkept_ends:
            end = worker.unkept_ends[0]
            if end.job_id in self.dirty or end.job_id in self._in_flight:
                return
            worker.acked_number = end.number
            worker.unkept_ends.popleft()

    def _take_kept_jobs(self, batch, now):
        for decided in batch.states:
            self._in_flight.discard(decided.job_id)
            job = self.jobs_by_id.get(decided.job_id)
            if job is None:
                continue
            job.shown_state = decided.state
            if job.shown_state in record.FINAL_STATES and job.ended_at is None:
                job.ended_at = now
            if job.job_id not in self.dirty and progress.is_closed(job):
                job.close()
        for run in batch.runs:
            if run.state is model.RunState.RECORDING:
                self._send_start(run, now)

    def _send_start(self, run, now):
        worker = self.workers_by_id.get(run.worker_id)
        job = self.jobs_by_id[run.key.job_id]
        step = self._find_step(run.key)
        ticket, deadline = step.tickets_by_worker.get(run.worker_id, ("", None))
        is_leaving = worker.entry.state is not messages.WorkerState.READY
        is_overfull = not worker.used.fits(worker.entry.total)
        is_late = deadline is not None and now > deadline
        if is_leaving or is_overfull or is_late:
            # Keeping the record took longer than the ticket holds, or the worker has
            # begun to leave meanwhile, or has less room than it had.
            self._release_run(run, now)
            return
        run.state = model.RunState.ORDERED
        run.ordered_at = run.known_since = run.percent_at = now
        self.orders.append(
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
