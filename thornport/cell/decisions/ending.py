"""How runs, jobs and the lives of workers end, and what follows from it.

A run that may be live keeps its room and its task until it is surely over.
"""

from thornport.cell.decisions import (
    cellstate,
    crashes,
    messages,
    model,
    notes,
    stalls,
)
from thornport.jobs import record
from thornport.kernel import clock

STOP_RETRY_S = 0.4  # an unanswered stop is sent again
SUSPECT_FAILURES = 2  # failed runs in a row that make a worker suspect
SUSPECT_S = 4.0  # how long it is one then
AVOID_S = 0.5  # after an order that a worker did not take


class Ending(cellstate.CellState):
    """Ends and stops of runs, and the ends of jobs that follow."""

    # Ends of runs.

    def _take_end(self, worker, end, now):
        if end.number <= worker.seen_number:
            return
        worker.seen_number = end.number
        worker.unkept_ends.append(model.UnkeptEnd(end.number, end.key.job_id))
        self._unacked_ids.add(worker.worker_id)
        run = worker.runs_by_key.get(end.key)
        if run is None or run.run != end.run:
            if end.kind is messages.EndKind.DONE:
                self._take_late_done(end.key, now)
            return
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
            return
        if end.kind is messages.EndKind.DONE and not step.spec.lasting:
            if run.ordered_at is not None and not step.checkpoints_by_index:
                worker.note_pace(now - run.ordered_at, step.spec.estimate_ms)
            self._take_done(step, run.key)
        elif end.kind is messages.EndKind.FAILED and not step.spec.lasting:
            self._take_failed(step, run)
        self._release_run(run, now)

    def _note_work(self, worker, run, now):
        """Note until when a run that goes on no more was at work."""
        job = self.jobs_by_id.get(run.key.job_id)
        if job is not None:
            stalls.record_work(job, worker, now)

    def _count_worker_failures(self, worker, end, now):
        """Tell workers that fail all they start from tasks that fail anywhere."""
        if end.kind is messages.EndKind.DONE:
            worker.failures = 0
        elif end.kind is messages.EndKind.FAILED:
            worker.failures += 1
            if worker.failures >= SUSPECT_FAILURES:
                worker.suspect(now + SUSPECT_S)

    def _take_late_done(self, key, now):
        """Take that a task is done of which the run counts as over.

        Its worker was silent until every lease there was over, and the task went back.
        Once the end is noted it may not start again. Failed runs do not count then: an
        earlier owner may have counted them.

        Args:
          key: A messages.TaskKey.
          now: A float.
        """
        job = self.jobs_by_id.get(key.job_id)
        step = self._find_step(key)
        if step is None or job.is_over() or step.spec.lasting:
            return
        # The record of a step that is done names no tasks.
        if step.is_done or key.index in step.done:
            return
        self._take_done(step, key)
        step.waiting -= step.done
        self._mark(job)
        self.needs_pass = True
        for index, run in list(step.live_by_index.items()):
            if index in step.done:
                self._stop_run(run, now)
        if step.is_done and not step.is_advanced:
            step.is_advanced = True
            self._advance(job, step, now)

    def _take_done(self, step, key):
        if step.spec.gang:
            # The members end done together, so one end stands for all.
            step.done = set(range(step.spec.count))
        else:
            step.done.add(key.index)
        step.is_done = len(step.done) == step.spec.count
        if step.is_done:
            step.forget_advice()

    def _take_failed(self, step, run):
        index = step.index_for(run.key.index)
        step.failures_by_index[index] = step.failures_by_index.get(index, 0) + 1
        step.avoided_by_index.setdefault(index, set()).add(run.worker_id)

    def _release_run(self, run, now):
        """A run is surely over: its room is free, its task may go on."""
        run.state = model.RunState.OVER
        self.usage.remove(run)
        worker = self.workers_by_id.get(run.worker_id)
        if worker is not None:
            worker.remove_run(run)
        self.needs_pass = True
        job = self.jobs_by_id.get(run.key.job_id)
        step = self._find_step(run.key)
        if step is None or step.live_by_index.get(run.key.index) is not run:
            return
        del step.live_by_index[run.key.index]
        is_counted = step.is_done and step.is_advanced
        # A time of a repeating job is over once the last member of its gangs is gone.
        if is_counted and (step.live_by_index or not job.record.job.repeats):
            return
        self._mark(job)
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

    def _restart_gang(self, job, step, now):
        """A gang's member is gone and the gang is not done: all start anew."""
        for run in list(step.live_by_index.values()):
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
            if any(step.live_by_index for step in steps):
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
        self._mark(job)
        self.needs_pass = True

    # Stopping runs.

    def _stop_run(self, run, now):
        if run.state in (model.RunState.STOPPING, model.RunState.OVER):
            return
        if run.state is model.RunState.RECORDING:
            # No order went out, and none will: only RECORDING runs are ordered.
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
        order = messages.StopOrder(
            run.worker_id, worker.entry.address, run.key, run.run, token
        )
        self.orders.append(order)

    # Workers that end, or take no orders of ours.

    def end_worker(self, worker, now, how):
        """A worker's life is over: so is all that ran there.

        Args:
          worker: A model.Worker.
          now: A float.
          how: A notes.WorkerEnd, what proved it: never a write to the store, which
            may come late and then tells of the life before the one that answers.
        """
        self.workers_by_id.pop(worker.worker_id, None)
        self._note_incarnation_over(worker, how)
        self._forget_advice(worker.worker_id)
        loss = crashes.make_loss(worker, now)
        had_life = worker.is_heard or worker.runs_by_key
        self._lose_runs(worker, now, how)
        if had_life and crashes.is_crash(worker, how):
            # Else an entry of a life that was over long before, or a worker that left:
            # several that come at once are no outage of a rack.
            self._recent_losses.append(loss)

    def _forget_advice(self, worker_id):
        """Forget what advice said of a worker: another life may be of another kind."""
        for job in (*self._unended_by_id.values(), *self._incoming_by_id.values()):
            for step in job.steps_by_key.values():
                step.forget_worker(worker_id)

    def _note_incarnation_over(self, worker, how, next_started_at_ms=None):
        self.notes.append(
            notes.IncarnationOver(
                worker.worker_id,
                worker.entry.address,
                how,
                worker.started_at_ms,
                next_started_at_ms,
                len(worker.runs_by_key),
            )
        )

    def _lose_runs(self, worker, now, how):
        """All that ran at a worker is over, and the worker does not tell of it."""
        runs = list(worker.runs_by_key.values())
        if not runs:
            return
        blames = self._judge_runs(worker, now, how)
        for blame in blames:
            self._note_lost(worker, blame, now, how)
        for run in runs:
            if run.state is model.RunState.RUNNING:
                self._note_work(worker, run, now)
            self._release_run(run, now)
        for blame in blames:
            self._give_up_crashing(blame.run, now)

    def _judge_runs(self, worker, now, how):
        """Judge the runs at a worker that is lost; a list of crashes.Blame."""
        if not crashes.is_crash(worker, how):
            return [crashes.Blame(run, 0) for run in crashes.list_begun(worker)]
        if self._is_outage(worker, now):
            blames = crashes.judge_outage(worker, now)
        else:
            rates = crashes.LossRates(
                self._recent_losses, len(self.workers_by_id), self._began_at, now
            )
            blames = crashes.judge_crash(worker, how, rates, now)
        for blame in blames:
            self._take_blame(worker, blame, now)
        return blames

    def _is_outage(self, worker, now):
        """Whether a worker seems to have been lost with others, not by a task."""
        silent = [
            crashes.make_loss(other, now)
            for other in self.workers_by_id.values()
            if other.silent_since is not None
        ]
        rack_size = sum(
            other.entry.rack == worker.entry.rack
            for other in self.workers_by_id.values()
        )
        loss = crashes.make_loss(worker, now)
        losses = [*self._recent_losses, *silent]
        return crashes.is_outage(loss, losses, rack_size, len(self.workers_by_id))

    def _take_blame(self, worker, blame, now):
        """Count the points of a task whose run has not ended by then."""
        run = blame.run
        step = self._find_step(run.key)
        if not blame.points or step is None:
            return
        if step.live_by_index.get(run.key.index) is not run:
            return
        points_by_index = step.crash_points_by_index
        points = points_by_index.get(run.key.index, 0) + blame.points
        points_by_index[run.key.index] = points
        trial_due_at = crashes.find_trial_due(worker, run, now)
        if trial_due_at is not None:
            step.trial_due_by_index[run.key.index] = trial_due_at
        # Another crash at the same worker would say as much against the worker.
        step.avoided_by_index.setdefault(run.key.index, set()).add(run.worker_id)

    def _note_lost(self, worker, blame, now, how):
        run = blame.run
        step = self._find_step(run.key)
        ran_s = crashes.compute_max_run_s(worker, run, now)
        note = notes.RunLost(
            run.key,
            run.run,
            worker.worker_id,
            how,
            None if ran_s is None else int(ran_s * clock.MS_PER_S),
            len(worker.runs_by_key) - 1,
            blame.points,
            step.crash_points_by_index.get(run.key.index, 0) if step else 0,
        )
        self.notes.append(note)

    def _give_up_crashing(self, run, now):
        """Give up a job of which a task crashes the workers that start it."""
        job = self.jobs_by_id.get(run.key.job_id)
        step = self._find_step(run.key)
        if job is None or step is None or job.is_over():
            return
        points = step.crash_points_by_index.get(run.key.index, 0)
        if points >= crashes.GIVE_UP_POINTS:
            self._fail_job(job, record.FailureCause.CRASHES, now)

    def _fail_job(self, job, cause, now):
        job.cause = cause
        self._end_job(job, record.JobState.FAILED, now)

    def _take_rejection(self, worker, order, answer, now):
        """Take that a worker did not do as told.

        Args:
          worker: A model.Worker.
          order: The order or messages.HoldRequest.
          answer: A messages.Rejected.
          now: A float.
        """
        # A call from before has come to another life, or under our own earlier token.
        is_newest = order.token == self.make_token(worker)
        if answer.reason is messages.Rejection.FENCED:
            self.is_fenced = self.is_fenced or is_newest
        elif answer.reason is messages.Rejection.REPLACED:
            if is_newest:
                self.end_worker(worker, now, notes.WorkerEnd.REPLACED)
        else:
            worker.avoid(now + AVOID_S)
