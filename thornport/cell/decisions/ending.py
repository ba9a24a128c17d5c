"""Ends of runs, of jobs and of the incarnations of workers.

A run that may be live keeps its reserved capacity and its task until it is proven over.
"""

import math

from thornport.cell.decisions import (
    attribution,
    crashes,
    losses,
    messages,
    model,
    notes,
    stalls,
)
from thornport.jobs import record
from thornport.kernel import clock

STOP_RETRY_S = 0.4  # an unanswered stop command is sent again after this
SUSPECT_FAILURES = 2  # failed runs in a row that make a worker suspect
SUSPECT_S = 4.0  # for which a worker stays suspect
# Ends that count for the task; after any other it only starts again.
RESULTS = frozenset({messages.EndKind.DONE, messages.EndKind.FAILED})
AVOID_S = 0.5  # no starts for a worker after an unanswered or failed call


class Ending(attribution.Attribution):
    """Ends and stops runs, and ends the jobs that are over by that."""

    # Ends of runs.

    def _take_end(self, worker, end, now):
        if end.number <= worker.seen_number:
            return
        worker.seen_number = end.number
        worker.unpersisted_ends.append(model.UnpersistedEnd(end.number, end.key))
        self._unacked_ids.add(worker.worker_id)
        run = worker.runs_by_key.get(end.key)
        if run is None or run.run != end.run:
            if end.kind is messages.EndKind.DONE:
                self._take_late_done(end.key, now)
            return
        self._note_run_begun(run)
        run.has_result = end.kind in RESULTS
        step = self._find_step(end.key)
        is_current = step is not None and step.live_by_index.get(end.key.index) is run
        self._count_worker_failures(worker, end, now)
        self._note_work(worker, run, now)
        if step is not None and end.checkpoint:
            step.checkpoints_by_index[step.index_for(end.key.index)] = end.checkpoint
        if not is_current:
            worker.remove_run(run)
            self.usage.remove(run)
            self.needs_pass = True
            if end.kind is messages.EndKind.DONE:
                self._take_late_done(end.key, now)
            return
        if end.kind is messages.EndKind.DONE and not step.spec.lasting:
            if run.commanded_at is not None and not (run.is_resumed or run.was_paced):
                self._note_run_time(worker, step, now - run.commanded_at)
            self._take_done(step, run.key)
        elif end.kind is messages.EndKind.FAILED and not step.spec.lasting:
            self._take_failed(step, run)
        self._release_run(run, now)

    def _note_work(self, worker, run, now):
        """Record until when a run that is over or being stopped made progress."""
        job = self.jobs_by_id.get(run.key.job_id)
        if job is not None:
            stalls.record_work(job, worker, now)

    def _count_worker_failures(self, worker, end, now):
        """Count failures in a row, to suspect workers on which every run fails."""
        if end.kind is messages.EndKind.DONE:
            worker.failures = 0
        elif end.kind is messages.EndKind.FAILED and not self._is_counted(worker, end):
            worker.failures += 1
            worker.last_failure = end
            if worker.failures >= SUSPECT_FAILURES:
                worker.suspect(now + SUSPECT_S)

    def _is_counted(self, worker, end):
        """Whether another member's failure in the same run was counted for a worker."""
        step, last = self._find_step(end.key), worker.last_failure
        if step is None or not step.spec.gang or last is None:
            return False
        return last.run == end.run and self._find_step(last.key) is step

    def _take_late_done(self, key, now):
        """Mark a task as done whose run already counts as over.

        The worker was silent until its leases had expired, so the task was put back to
        wait. Once the end is taken, the task may not start again. A late failure is not
        counted, since an earlier owner may have counted it.

        Args:
          key: A messages.TaskKey.
          now: A float.
        """
        job = self.jobs_by_id.get(key.job_id)
        step = self._find_step(key)
        if step is None or job.is_over() or step.spec.lasting:
            return
        # The persisted record of a step that is done lists no tasks.
        if step.is_done or key.index in step.done:
            return
        job.has_run = True
        self._take_done(step, key)
        step.waiting -= step.done
        self._mark_dirty(job)
        self.needs_pass = True
        for index, run in list(step.live_by_index.items()):
            if index in step.done:
                self._stop_run(run, now)
        if step.is_done and not step.is_advanced:
            step.is_advanced = True
            self._advance(job, step, now)

    def _take_done(self, step, key):
        if step.spec.gang:
            # All members of a gang are done at once, so one end stands for all.
            step.done = set(range(step.spec.count))
        else:
            step.done.add(key.index)
        step.is_done = len(step.done) == step.spec.count
        if step.is_done:
            step.forget_advice()
            self._learn_duration(step)

    def _note_run_time(self, worker, step, took_s):
        """Note how long a task ran from its beginning to its end."""
        if took_s <= 0:
            return
        usual_s = took_s * math.exp(worker.speed.log)
        step.longest_s = max(step.longest_s, usual_s)
        if not step.spec.gang and not step.spec.near_rack:
            # Members of a gang end together, and tasks away from their data late.
            step.run_logs.append((worker.machine, math.log(took_s)))

    def _learn_duration(self, step):
        """Learn how long the tasks of a step that is done ran, and where."""
        job = self.jobs_by_id[step.key.job_id]
        name = job.record.queue.name
        predicted_s = self._durations.predict_s(name, step.spec.estimate_ms)
        self._durations.note_step(name, step.spec.estimate_ms, step.longest_s)
        self._update_bounds(job)
        for machine in self.speeds.learn_step(step.run_logs):
            known = self.speeds.find(machine)
            self.notes.append(notes.SpeedChanged(machine, known.log, known.runs))
        step.run_logs.clear()
        self.notes.append(
            notes.StepDone(
                step.key,
                name,
                int(predicted_s * clock.MS_PER_S),
                int(step.longest_s * clock.MS_PER_S),
            )
        )

    def _take_failed(self, step, run):
        step.count_failure(run)
        index = step.index_for(run.key.index)
        step.avoided_by_index.setdefault(index, set()).add(run.worker_id)

    def _release_run(self, run, now):
        """Free the capacity of a run that is proven over, and advance its task."""
        job = self.jobs_by_id.get(run.key.job_id)
        step = self._find_step(run.key)
        if self._free_run(job, step, run, now):
            self._advance_task(job, step, run, now)

    def _free_run(self, job, step, run, now):
        """Free the capacity of a run that is proven over.

        Args:
          job: The model.JobEntry of its task, or None.
          step: The model.StepState of its task, or None.
          run: A model.Run.
          now: A float.
        Returns:
          A bool, whether it was the live run of its task.
        """
        run.state = model.RunState.OVER
        self.usage.remove(run)
        worker = self.workers_by_id.get(run.worker_id)
        if worker is not None:
            worker.remove_run(run)
        self.needs_pass = True
        if step is None or step.live_by_index.get(run.key.index) is not run:
            return False
        del step.live_by_index[run.key.index]
        # Once its job is over, a run that a late start begins is stopped when a poll
        # lists it. An end that counts stays unacknowledged, so that none follows it.
        if now < run.late_until and (run.has_result or not job.is_over()):
            self._await_late_start(step, run, now)
        if run.late_until:
            # The record states whether a start may still arrive.
            self._mark_dirty(job)
        return True

    def _advance_task(self, job, step, run, now):
        """Go on with a task whose live run is over: its step, its gang or another run.

        Args:
          job, step, run, now: As for `_free_run`.
        """
        is_counted = step.is_done and step.is_advanced
        # A repetition of a job is over once the last member of its gangs has ended.
        if is_counted and (step.live_by_index or not job.record.job.repeats):
            return
        self._mark_dirty(job)
        if job.is_over():
            return
        if step.is_done:
            step.is_advanced = True
            self._advance(job, step, now)
        elif step.spec.gang:
            self._restart_gang(job, step, now)
        elif run.key.index not in step.done:
            step.waiting.add(run.key.index)
            self._check_failed(job, step, run.key.index, now)

    def _release_late_runs(self, now):
        """Free the tasks of which no start can arrive any more to start anywhere."""
        for run in list(self._late_runs_by_key.values()):
            if now < run.late_until:
                continue
            self._drop_late_run(run)
            step = self._find_step(run.key)
            if step is None:
                continue
            job = self.jobs_by_id[run.key.job_id]
            self._mark_dirty(job)
            self.needs_pass = True
            if step.is_done and not job.is_over():
                # A repetition of a job is not over before.
                self._advance(job, step, now)

    def _restart_gang(self, job, step, now):
        """Stop a gang that lost a member before it was done, to start it again."""
        for run in list(step.live_by_index.values()):
            if is_unsent(run):
                # Releasing it would restart the gang again, once for each such member.
                self._free_run(job, step, run, now)
            else:
                self._stop_run(run, now)
        if self._check_failed(job, step, model.GANG_INDEX, now):
            return
        if not step.live_by_index:
            step.waiting = set(range(step.spec.count))

    def _check_failed(self, job, step, index, now):
        if step.spec.lasting:
            return False
        if step.failures_by_index.get(index, 0) < self._queue_of(job).max_attempts:
            return False
        self._fail_job(job, record.FailureCause.ATTEMPTS, now)
        return True

    # Ends of jobs.

    def _advance(self, job, step, now):
        keys = job.list_step_keys(step.key.time)
        if not all(job.steps_by_key[key].is_done for key in keys):
            return
        if not job.record.job.repeats:
            self._end_job(job, record.JobState.SUCCEEDED, now)
            return
        self._count_times(job)
        if job.times_done >= job.record.job.repeats:
            self._end_job(job, record.JobState.SUCCEEDED, now)

    def _count_times(self, job):
        while True:
            keys = job.list_step_keys(job.times_done)
            steps = [job.steps_by_key.get(key) for key in keys]
            if not all(s is not None and s.is_done for s in steps):
                return
            if any(step.live_by_index or step.late_by_index for step in steps):
                return
            for key in keys:
                del job.steps_by_key[key]
            job.times_done += 1

    def _end_job(self, job, state, now):
        job.state = state
        self._unended_by_id.pop(job.job_id, None)
        for step in job.steps_by_key.values():
            step.waiting.clear()
            if state is record.JobState.SUCCEEDED:
                continue
            for run in list(step.live_by_index.values()):
                self._stop_run(run, now)
        self._mark_dirty(job)
        self.needs_pass = True

    # Stopping runs.

    def _stop_run(self, run, now):
        if run.state in (model.RunState.STOPPING, model.RunState.OVER):
            return
        if is_unsent(run):
            self._release_run(run, now)
            return
        worker = self.workers_by_id.get(run.worker_id)
        if run.state is model.RunState.RUNNING and worker is not None:
            self._note_work(worker, run, now)
        run.state = model.RunState.STOPPING
        self._send_stop(run, now)

    def _send_stop(self, run, now):
        run.stop_due_at = now + STOP_RETRY_S
        worker = self.workers_by_id.get(run.worker_id)
        if worker is None or not worker.entry.address:
            return
        token = self.make_token(worker)
        command = messages.StopOrder(
            run.worker_id, worker.entry.address, run.key, run.run, token
        )
        self.commands.append(command)

    # Workers whose incarnation ended, or that reject commands.

    def end_worker(self, worker, now, how):
        """End the incarnation of a worker and all runs there.

        Args:
          worker: A model.Worker.
          now: A float.
          how: A notes.WorkerEnd, the proof. A write to the store is never one: it may
            be late and of an earlier incarnation than the one that answers.
        """
        self.workers_by_id.pop(worker.worker_id, None)
        self._note_incarnation_over(worker, how)
        self._forget_advice(worker.worker_id)
        loss = losses.make_loss(worker, now)
        was_active = worker.is_heard or worker.runs_by_key
        self._lose_runs(worker, now, how)
        if was_active and crashes.is_crash(worker, how):
            # Otherwise the entry was of an incarnation that ended long ago, or the
            # worker left: several of these at once are no outage of a rack.
            self._recent_losses.append(loss)
            self._note_host_lost(worker, loss.at)
        self._settle_ended(worker, how, now)

    def _forget_advice(self, worker_id):
        """Forget the advice on a worker: its next incarnation may differ in kind."""
        for job in (*self._unended_by_id.values(), *self._incoming_by_id.values()):
            for step in job.steps_by_key.values():
                step.forget_worker(worker_id)

    def _note_incarnation_over(
        self, worker, how, next_started_at_ms=None, poll_deadline_ms=None
    ):
        self.notes.append(
            notes.IncarnationOver(
                worker.worker_id,
                worker.entry.address,
                how,
                worker.started_at_ms,
                next_started_at_ms,
                len(worker.runs_by_key),
                worker.granted_ms,
                poll_deadline_ms,
            )
        )

    def _lose_runs(self, worker, now, how):
        """End the runs at a worker that is lost and reports no ends."""
        runs = list(worker.runs_by_key.values())
        if not runs:
            return
        worker.loss = losses.make_loss(worker, now)
        blames = self._judge_runs(worker, now, how)
        for blame in blames:
            self._note_lost(worker, blame, how)
        for run in runs:
            if run.state is model.RunState.RUNNING:
                self._note_work(worker, run, now)
            self._release_run(run, now)
        for blame in blames:
            self._give_up_crashing(blame.run.key, now)

    def _give_up_crashing(self, key, now):
        """Fail the job of a task against which enough is proven.

        Args:
          key: A messages.TaskKey.
          now: A float.
        """
        job = self.jobs_by_id.get(key.job_id)
        step = self._find_step(key)
        if job is None or step is None or job.is_over():
            return
        if step.crash_evidence.has_to_end(key.index):
            self._fail_job(job, record.FailureCause.CRASHES, now)

    def _fail_job(self, job, cause, now):
        job.cause = cause
        self._end_job(job, record.JobState.FAILED, now)

    def _take_rejection(self, worker, command, answer, now):
        """Handle the rejection of a call by a worker.

        Args:
          worker: A model.Worker.
          command: The command or messages.HoldRequest.
          answer: A messages.Rejected.
          now: A float.
        """
        # An older call may have reached another incarnation, or carry an earlier token
        # of this owner.
        is_newest = command.token == self.make_token(worker)
        if answer.reason is messages.Rejection.FENCED:
            self.is_fenced = self.is_fenced or is_newest
        elif answer.reason is messages.Rejection.REPLACED:
            if is_newest:
                self._note_replaced(worker)
                self.end_worker(worker, now, notes.WorkerEnd.REPLACED)
        else:
            worker.avoid(now + AVOID_S)


def is_unsent(run):
    """Tell whether no start of a run was sent, nor will be once it is over.

    Args:
      run: A model.Run.
    Returns:
      A bool.
    """
    # Only RECORDING runs are started.
    return run.state is model.RunState.RECORDING and not run.has_more_copies
