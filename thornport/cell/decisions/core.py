"""The decisions of a cell's owner: events in, commands and records out.

No I/O and no clock: each method takes the time and leaves commands in `commands`
and jobs to record in `dirty`. A start command is sent only once the record that
names it is persisted, so a successor knows each worker that may run a task.
"""

import math

from thornport.cell.decisions import (
    batches,
    explaining,
    learning,
    leaving,
    messages,
    model,
    notes,
    outcomes,
    pacing,
    passes,
    polls,
    stalls,
)
from thornport.cell.decisions.contention import prospects
from thornport.jobs import workspace
from thornport.kernel import clock

MAX_PASS_STEPS = passes.MAX_PASS_STEPS
INCOMING_S = 5.0  # a job not accepted after this time was refused
LATE_STATUS_S = 10.0  # added to the time that a job's state may be read for


class CellCore(
    learning.Learning,
    polls.Polls,
    leaving.Leaving,
    outcomes.Outcomes,
    pacing.Pacing,
    explaining.Explaining,
    batches.Batches,
):
    """All that an owner knows and decides; see cellstate.CellState."""

    def take_config(self, config, now):
        """Take it as `learning` does, then recheck the runs that wait for tickets.

        Args:
          config, now: As there.
        """
        super().take_config(config, now)
        self._recheck_awaited(now)

    # Time.

    def tick(self, now, wall_ms):
        """Do what is due: lapsed leases, repeated stops, due times, old jobs.

        Args:
          now: A float.
          wall_ms: An int, milliseconds since 1970.
        """
        self._wall_origin_ms = wall_ms - int(now * clock.MS_PER_S)
        if not self._has_ticked:
            self._has_ticked = True
            self._restore_waits(now, wall_ms)
            self._restore_starts(now, wall_ms)
        for worker in list(self.workers_by_id.values()):
            self._tick_worker(worker, now)
        self._drop_old_calls(now)
        self._release_late_runs(now)
        self._settle_expired(now)
        self._record_due_begun(now)
        self._give_up_advice(now)
        self._give_up_starts(now)
        for job in list(self._incoming_by_id.values()):
            if now - job.arrived_at > INCOMING_S:
                del self._incoming_by_id[job.job_id]
        for job in list(self._unended_by_id.values()):
            if job.record.job.repeats:
                self._begin_due_times(job, now, wall_ms)
        self._remove_expired(now)
        self.needs_pass = True

    def _restore_waits(self, now, wall_ms):
        """Count the waits of jobs under earlier owners from when they were accepted.

        Users allow a job to wait 3 s beside free capacity, whoever owns the cell. No
        record shows when the last run of a job that has begun ended, so the wait of
        such a job begins anew.

        Args:
          now: A float.
          wall_ms: As for `tick`.
        """
        for job in self._unended_by_id.values():
            if job.record.job.repeats:
                continue
            waited_s = (wall_ms - job.record.accepted_at_ms) / clock.MS_PER_S
            # A clock of another VM may be ahead.
            earlier_s = max(0.0, waited_s - (now - job.accepted_at))
            job.accepted_at -= earlier_s
            job.bounds = prospects.move_earlier(job.bounds, earlier_s)
            job.prospect_until = -math.inf
            if not job.was_placed:
                stalls.restore_idle(job, waited_s, now)

    def _restore_starts(self, now, wall_ms):
        """Find when the runs of earlier owners were started, by their records.

        Args:
          now: A float.
          wall_ms: As for `tick`.
        """
        for job in self._unended_by_id.values():
            for step in job.steps_by_key.values():
                for run in step.live_by_index.values():
                    ago_ms = wall_ms - run.decided_at_ms
                    # The clock of another VM may be ahead, or may have jumped.
                    if run.decided_at is None and run.decided_at_ms and ago_ms >= 0:
                        run.decided_at = now - ago_ms / clock.MS_PER_S
        self._end_long_leases(wall_ms)

    def _tick_worker(self, worker, now):
        self._forget_host_losses(worker, now)
        if worker.unlisted_at is not None and now >= worker.unlisted_at:
            worker.is_listed = False
            worker.unlisted_at = None
        self._stop_unfinishable_runs(worker, now)
        if now > worker.compute_lapse_at():
            if worker.runs_by_key:
                self._note_lease_over(worker, now)
            if not worker.is_listed:
                self.end_worker(worker, now, notes.WorkerEnd.LAPSED)
                return
            self._lose_runs(worker, now, notes.WorkerEnd.LAPSED)
            self._switch_address(worker, now)
        for run in list(worker.runs_by_key.values()):
            is_stopping = run.state is model.RunState.STOPPING
            if is_stopping and run.stop_confirmed_at is None and now >= run.stop_due_at:
                self._send_stop(run, now)

    def _note_lease_over(self, worker, now):
        self.notes.append(
            notes.LeaseOver(
                worker.worker_id,
                self.make_token(worker),
                worker.started_at_ms,
                worker.is_heard,
                worker.clock_ms,
                worker.granted_ms,
                int((now - worker.heard_at) * clock.MS_PER_S),
                len(worker.runs_by_key),
            )
        )

    def _begin_due_times(self, job, now, wall_ms):
        spec = job.record.job
        for time in range(job.times_done, spec.repeats):
            if wall_ms < spec.first_at_ms + time * spec.interval_ms:
                return
            key = messages.StepKey(job.job_id, time, 0)
            if key not in job.steps_by_key:
                self._begin_time(job, time)
                job.last_active_at = now

    def _remove_expired(self, now):
        limit_s = self._status_s + LATE_STATUS_S
        for job in list(self.jobs_by_id.values()):
            is_old = job.ended_at is not None and now - job.ended_at > limit_s
            if is_old and not any(s.live_by_index for s in job.steps_by_key.values()):
                del self.jobs_by_id[job.job_id]
                self.forgotten[job.job_id] = None

    # Reading.

    def take_commands(self):
        """Take the messages to carry out, and empty the list."""
        commands, self.commands = self.commands, []
        return commands

    def take_notes(self):
        """Take what is to be logged, a list of the types in `notes`."""
        taken, self.notes = self.notes, []
        return taken

    def read_state(self, job_id, caller=workspace.OPERATOR):
        """Read the persisted state of a job.

        Args:
          job_id: A str.
          caller: The workspace.Caller who asks.
        Returns:
          A record.JobState, or None if the job is unknown or hidden from the caller.
        """
        job = self.jobs_by_id.get(job_id)
        if job is None or not caller.may_see(job.record):
            return None
        return job.persisted_state

    def count_all_waiting(self):
        """Count the jobs of all queues of which no task is known to have begun."""
        return sum(not job.has_run for job in self._unended_by_id.values())

    def count_waiting(self, queue_name):
        """Count the jobs of a queue of which no task has begun."""
        return sum(
            job.record.queue.name == queue_name
            and not job.has_run
            and not job.record.job.repeats
            for job in self._unended_by_id.values()
        )
