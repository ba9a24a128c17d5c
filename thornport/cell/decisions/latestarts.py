"""Start commands that a worker may carry out late, after it has restarted.

A start command without an answer may be carried out seconds later, even by the next
incarnation under the same worker id. A stop and the fencing token bar the command at an
incarnation that has received them, which the next one has not before its first poll.
Only a ticket bars it there, since it holds for one incarnation.

So while a copy of a start command without a ticket may still arrive:

- The command is sent again, for the same run at the same worker. A copy that arrives
  later finds the run and does nothing. If the worker has not begun the run once the
  first copy must have arrived, it carries out no starts, and the run is stopped.
- Once the run is over, its task starts at that worker only. A worker id has at most one
  incarnation at a time, so a copy begins nothing beside the task's next run.
- The end of the run is not acknowledged. If a copy begins the run again, it does not
  repeat an end that counts.

A run that has begun used up one copy. If only one was sent, nothing has to wait. Nor
does anything at a worker that does not state when it started: it has a new id after
each restart, and a command names the id.
"""

from thornport.cell.decisions import (
    cellstate,
    crashes,
    leases,
    messages,
    model,
    notes,
)
from thornport.kernel import clock

# A worker carries out a start command within this time of its sending: the users'
# workers take at most 12 s from its arrival.
LATE_START_S = 13.0
# Delay until the record of a run states that it has begun. The records of short tasks
# are written again within this time anyway.
RECORD_BEGUN_S = 0.5


class LateStarts(cellstate.CellState):
    """Handles starts without an answer and the tasks that wait for them."""

    # Starts of this owner.

    def _note_start_sent(self, run, ticket, now):
        """Note that a start command is sent.

        Args:
          run: A model.Run.
          ticket: A str; with one, only the present incarnation takes the command.
          now: A float.
        """
        is_barred = bool(ticket) or not run.has_reusable_id()
        run.note_sent(run.late_until if is_barred else now + LATE_START_S)

    def _note_start_unanswered(self, run, now):
        """Have a worker polled whether a start without an answer has begun.

        Args:
          run: A model.Run.
          now: A float.
        """
        if run.has_begun and not run.has_more_copies:
            return
        if run.has_reusable_id():
            # The command may have left late, when this process was held up.
            run.late_until = now + LATE_START_S
        run.note_unanswered(now, now + LATE_START_S)
        if run.state is model.RunState.ORDERED:
            self.commands.append(messages.PollAgain(run.worker_id))

    def _note_earlier_unanswered(self, command, now):
        """Note that a start of a task's last run has no answer, after the next began.

        Args:
          command: A messages.StartOrder of a run that is over.
          now: A float.
        """
        step = self._find_step(command.key)
        if step is None or command.ticket:
            return
        for run in step.list_runs(command.key.index):
            if run.worker_id == command.worker_id and run.has_reusable_id():
                run.earlier_until = now + LATE_START_S
                run.late_until = max(run.late_until, run.earlier_until)

    def _record_begun(self, run, now):
        """Schedule a write of the record that states that a run has begun.

        Without it, a successor that finds the worker lost would have the task wait for
        a start that may arrive late.

        Args:
          run: A model.Run whose start command is answered.
          now: A float.
        """
        self._record_due_by_job.setdefault(run.key.job_id, now + RECORD_BEGUN_S)

    def _record_due_begun(self, now):
        """Write the records of jobs again whose runs have begun a while ago."""
        due_ids = [j for j, at in self._record_due_by_job.items() if now >= at]
        for job_id in due_ids:
            del self._record_due_by_job[job_id]
            job = self.jobs_by_id.get(job_id)
            if job is not None and not job.is_over():
                self._mark_dirty(job)

    def _is_unanswered(self, run, sent_at):
        """Whether a poll that doesn't list a run shows that its start has not arrived.

        Args:
          run: A model.Run.
          sent_at: A float, when the poll was sent.
        """
        is_ordered = run.state is model.RunState.ORDERED
        return (
            is_ordered and run.unanswered_at is not None and sent_at > run.unanswered_at
        )

    def _resend_start(self, run):
        """Start a run again at its worker, once the record says that it is resent.

        Args:
          run: A model.Run of which a start command may still arrive.
        """
        run.unanswered_at = None
        run.has_more_copies = True
        run.state = model.RunState.RECORDING
        self._recording.append(run)
        self._mark_dirty(self.jobs_by_id[run.key.job_id])
        self.notes.append(notes.StartResent(run.key, run.run, run.worker_id))

    # Starts of earlier owners.

    def _restore_late_start(self, job, run):
        """Restore until when a start command of an earlier owner may arrive.

        Args:
          job: The model.JobEntry.
          run: A model.Run from a record.
        """
        is_single = run.has_begun and not run.has_more_copies
        if not is_single and run.has_reusable_id() and not self._has_tickets(job):
            # The last lease that an earlier owner grants ends at `_earlier_over_at`.
            sent_until = self._earlier_over_at - leases.EARLIER_LEASE_S
            run.late_until = sent_until + LATE_START_S
        if run.state is model.RunState.OVER:
            self._late_runs_by_key[run.key] = run

    def _limit_late_starts(self, now):
        """Note that no earlier owner sends commands any more."""
        late_until = now + LATE_START_S
        for job in self.jobs_by_id.values():
            for step in job.steps_by_key.values():
                runs = (*step.live_by_index.values(), *step.late_by_index.values())
                for run in runs:
                    if run.commanded_at is None:
                        run.late_until = min(run.late_until, late_until)

    def _has_tickets(self, job):
        """Whether each start of a job has a ticket, now and when it was accepted."""
        queues = (self._queue_of(job), job.record.queue)
        return all(queue.advice is not None for queue in queues)

    def _may_resend(self, run, now):
        """Whether a run that an earlier owner recorded is to be started again.

        Args:
          run: A model.Run that its worker, still of the recorded incarnation, does not
            list.
          now: A float.
        """
        job = self.jobs_by_id.get(run.key.job_id)
        step = self._find_step(run.key)
        return (
            run.state is model.RunState.UNHEARD
            and now < run.late_until
            and job is not None
            and not job.is_over()
            and step.live_by_index.get(run.key.index) is run
            and run.key.index not in step.done
        )

    # Runs that are over, while a start of them may still arrive.

    def _adopt_late_run(self, worker, row, now):
        """Take a run that a late start has begun as the run of its task.

        Args:
          worker: A model.Worker.
          row: A messages.RunningRow that names no run known to be live there.
          now: A float.
        Returns:
          A bool, whether the run may go on; otherwise it is to be stopped.
        """
        run = self._late_runs_by_key.get(row.key)
        if run is None or (run.run, run.worker_id) != (row.run, worker.worker_id):
            return False
        step = self._find_step(row.key)
        # A member of a gang has lost the others.
        if step is None or step.spec.gang or row.key.index not in step.waiting:
            return False
        self._drop_late_run(run)
        step.waiting.discard(row.key.index)
        step.live_by_index[row.key.index] = run
        self._note_run_begun(run)
        run.state = model.RunState.RUNNING
        run.has_result = run.is_abandoned = False
        run.stop_confirmed_at = None
        run.known_since = run.percent_at = now
        run.percent = row.percent
        run.load, run.pace_percent = row.load, None
        run.worker_started_at_ms = worker.started_at_ms
        run.long_lease_until_ms = self._read_long_lease_ms(worker, now)
        self._charge_run(worker, run)
        self._mark_dirty(self.jobs_by_id[row.key.job_id])
        return True

    def _note_replaced(self, worker):
        """Note that an id is gone for good: starts that name it are rejected.

        Args:
          worker: A model.Worker whose address another worker has.
        """
        late = self._late_runs_by_key.values()
        for run in (*worker.runs_by_key.values(), *late):
            if run.worker_id == worker.worker_id:
                run.late_until = run.earlier_until = 0.0

    def _await_late_start(self, step, run, now):
        """Note that a run is over of which a start may still arrive.

        Args:
          step: A model.StepState.
          run: A model.Run.
          now: A float.
        """
        step.late_by_index[run.key.index] = run
        self._late_runs_by_key[run.key] = run
        left_ms = int((run.late_until - now) * clock.MS_PER_S)
        self.notes.append(
            notes.LateStartAwaited(run.key, run.run, run.worker_id, left_ms)
        )

    def _drop_late_run(self, run):
        """Note that a run that is over has begun again or can't begin any more."""
        del self._late_runs_by_key[run.key]
        step = self._find_step(run.key)
        if step is not None:
            del step.late_by_index[run.key.index]

    def _take_on_late_start(self, step, run):
        """Have the next run of a task take on what may still arrive of the last one.

        Args:
          step: A model.StepState.
          run: A model.Run that is about to be started, at the worker of the last one.
        """
        late = step.late_by_index.get(run.key.index)
        if late is not None:
            self._drop_late_run(late)
            run.late_until = late.late_until
            run.has_more_copies = True

    def _is_end_withheld(self, key, now):
        """Whether the ends of a task are not acknowledged yet.

        Any member's end counts for a whole gang.

        Args:
          key: A messages.TaskKey.
          now: A float.
        Returns:
          A bool.
        """
        step = self._find_step(key)
        if step is None:
            return False
        if step.spec.gang:
            runs = (*step.live_by_index.values(), *step.late_by_index.values())
        else:
            runs = step.list_runs(key.index)
        return any(now < run.late_until for run in runs)


def list_placeable(step, indexes, workers_by_id):
    """List the tasks that have a worker which they may start at.

    Args:
      step: A model.StepState.
      indexes: A list of indexes of waiting tasks.
      workers_by_id: Model.Workers by id.
    Returns:
      A list of those of the indexes that may start anywhere, or that may start at their
      only worker now; of a gang, all or none.
    """
    placeable = [
        index
        for index in indexes
        if index not in step.late_by_index
        or may_start_there(step, step.late_by_index[index], workers_by_id)
    ]
    if step.spec.gang and len(placeable) < step.spec.count:
        return []
    return placeable


def may_start_there(step, late, workers_by_id):
    """Tell whether a task may start at the only worker that it may start at.

    A task with the points of more than one crash waits until it may start elsewhere:
    the worker may crash at each start, and the task would be given up for that.

    Args:
      step: A model.StepState.
      late: The model.Run of which a start may still arrive at that worker.
      workers_by_id: Model.Workers by id.
    Returns:
      A bool; false also if the worker answers no polls or carries out no starts.
    """
    worker = workers_by_id.get(late.worker_id)
    if worker is None or worker.silent_since is not None or late.is_abandoned:
        return False
    points = step.crash_evidence.suspicion_by_index.get(late.key.index, 0)
    return points <= crashes.SHARED_SUSPECT_POINTS
