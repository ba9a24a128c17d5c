"""Attributes the losses of workers to the tasks that ran there.

A proven crash counts at once; the loss of a silent worker counts only when another
incarnation has answered in its place, and not at all if the worker answers again.
"""

from thornport.cell.decisions import (
    crashes,
    latestarts,
    losses,
    messages,
    notes,
    trials,
)
from thornport.kernel import clock


class Attribution(latestarts.LateStarts):
    """Keeps the evidence that tasks crash their workers."""

    def _judge_runs(self, worker, now, how):
        """Attribute the loss of a worker to its runs.

        Args:
          worker: A model.Worker.
          now: A float.
          how: A notes.WorkerEnd.
        Returns:
          A list of crashes.Blame.
        """
        if not crashes.is_crash(worker, how):
            return [
                crashes.Blame(run, losses.bound_run_time(worker, run, now))
                for run in losses.list_begun(worker)
            ]
        blames = crashes.judge_loss(worker, how, self._make_chances(worker, now), now)
        for blame in blames:
            self._take_blame(worker, blame, how, now)
        return blames

    def _make_chances(self, worker, now):
        """Make the crashes.Chances that a worker was lost by other causes."""
        others = self.workers_by_id.values()
        silent = [
            other.loss or losses.make_loss(other, now)
            for other in others
            if other.silent_since is not None
        ]
        loss = losses.make_loss(worker, now)
        moment = losses.Moment(
            loss,
            [*self._recent_losses, *silent],
            {other.worker_id: other.entry.rack for other in others},
        )
        rates = losses.LossRates(
            self._recent_losses, len(self.workers_by_id), self._began_at, now
        )
        present_ids_by_step = {
            key: frozenset(
                run.worker_id for run in self._find_step(key).live_by_index.values()
            )
            for key in loss.present_steps
            if self._find_step(key) is not None
        }
        return crashes.Chances(rates, moment, present_ids_by_step)

    def _take_blame(self, worker, blame, how, now):
        """Add evidence against a task, unless its run is no longer the live one.

        Args:
          worker: A model.Worker.
          blame: A crashes.Blame.
          how: A notes.WorkerEnd.
          now: A float.
        """
        run, index = blame.run, blame.run.key.index
        step = self._find_step(run.key)
        if step is None or step.live_by_index.get(index) is not run:
            return
        if blame.is_doubted:
            step.crash_evidence.doubt(index)
        elif not blame.points:
            return
        elif how is notes.WorkerEnd.LAPSED:
            # The entry may be that of a later incarnation; a worker that is known from
            # records alone has none.
            started_at_ms = worker.started_at_ms
            if run.worker_started_at_ms is not None:
                started_at_ms = run.worker_started_at_ms
            loss = self._unproven.add(
                worker.worker_id, started_at_ms, worker.entry.address, now
            )
            loss.tasks.append(run.key)
            step.crash_evidence.add_unproven(index, loss)
        else:
            step.crash_evidence.add_points(index, blame.points)
        trial_due_at = trials.find_trial_due(worker, run, now)
        if trial_due_at is not None:
            step.trial_due_by_index[index] = trial_due_at
        # Another crash on the same host would be evidence against the host too.
        hosts_by_index = step.crash_evidence.lost_hosts_by_index
        hosts_by_index.setdefault(index, set()).add(worker.host)

    def _note_host_lost(self, worker, lost_at):
        """Count the loss of an incarnation for the later ones on its host.

        Args:
          worker: A model.Worker that is lost.
          lost_at: A float.
        """
        self._losses_by_host = {
            host: found
            for host, found in self._losses_by_host.items()
            if lost_at - found.at <= losses.RATE_WINDOW_S
        }
        before = self._losses_by_host.get(worker.host)
        count = 1 if before is None else before.count + 1
        self._losses_by_host[worker.host] = losses.HostLosses(lost_at, count)
        for other in self.workers_by_id.values():
            if other.host == worker.host:
                self._restore_host_losses(other)

    def _restore_host_losses(self, worker):
        """Tell a worker how many incarnations were lost on its host of late."""
        found = self._losses_by_host.get(worker.host)
        if found is not None:
            worker.host_lost_at, worker.host_losses = found.at, found.count

    def _forget_host_losses(self, worker, now):
        """Have a worker forget the losses on its host once there were none for long."""
        if now - worker.host_lost_at > losses.RATE_WINDOW_S:
            worker.host_losses = 0

    def _note_lost(self, worker, blame, how):
        run = blame.run
        step = self._find_step(run.key)
        index, max_s = run.key.index, blame.ran.max_s
        proven = unproven = 0
        if step is not None:
            proven = step.crash_evidence.points_by_index.get(index, 0)
            unproven = len(step.crash_evidence.unproven_by_index.get(index, ()))
        self.notes.append(
            notes.RunLost(
                run.key,
                run.run,
                worker.worker_id,
                how,
                None if max_s is None else int(max_s * clock.MS_PER_S),
                len(worker.runs_by_key) - 1,
                blame.points,
                proven,
                unproven,
            )
        )

    def _record_silence(self, worker):
        """Record that a worker fell silent a moment after the starts of its runs.

        A successor would otherwise not know that the silence began so early.

        Args:
          worker: A model.Worker that is silent.
        """
        for run in losses.list_begun(worker):
            start = losses.find_start(run)
            if run.silent_after_ms is not None or start is None:
                continue
            silent_after_s = max(0.0, worker.silent_since - start)
            if silent_after_s <= crashes.WIDE_SUSPECT_WINDOW_S:
                run.silent_after_ms = int(silent_after_s * clock.MS_PER_S)
                self._mark_job_dirty(run)

    def _erase_silence(self, run):
        """Erase from the record that the worker of a run fell silent, as it lists it.

        The silence may have been recorded by an earlier owner. An answer that does not
        list the run may be another incarnation's.

        Args:
          run: A model.Run.
        """
        if run.silent_after_ms is not None:
            run.silent_after_ms = None
            self._mark_job_dirty(run)

    def _mark_job_dirty(self, run):
        """Have the record of a run's job written again, if it is still known."""
        job = self.jobs_by_id.get(run.key.job_id)
        if job is not None:
            self._mark_dirty(job)

    def _settle_answered(self, worker, now):
        """Settle the unproven losses that an answer of a worker decides.

        Args:
          worker: A model.Worker that has answered.
          now: A float.
        """
        answered = self._unproven.take_answered(worker.worker_id, worker.entry.address)
        for loss in answered:
            is_crash = loss.is_crash(worker.worker_id, worker.started_at_ms)
            settled = notes.Settled.CRASH if is_crash else notes.Settled.NO_CRASH
            self._settle_loss(loss, settled, now)

    def _settle_ended(self, worker, how, now):
        """Settle the unproven losses of a worker whose end is known now.

        Args:
          worker: A model.Worker.
          how: A notes.WorkerEnd.
          now: A float.
        """
        if how is notes.WorkerEnd.LAPSED:
            return
        is_crash = crashes.is_crash(worker, how)
        settled = notes.Settled.CRASH if is_crash else notes.Settled.NO_CRASH
        for loss in self._unproven.take_of_worker(worker.worker_id):
            self._settle_loss(loss, settled, now)

    def _settle_expired(self, now):
        """Drop the losses that no answer has settled in time."""
        for loss in self._unproven.take_expired(now):
            self._settle_loss(loss, notes.Settled.EXPIRED, now)

    def _settle_loss(self, loss, settled, now):
        """Settle an unproven loss for the tasks that it is held against.

        Args:
          loss: An evidence.UnprovenLoss.
          settled: A notes.Settled.
          now: A float.
        """
        is_crash = settled is notes.Settled.CRASH
        points = crashes.SHARED_SUSPECT_POINTS if is_crash else 0
        for key in loss.tasks:
            step, job = self._find_step(key), self.jobs_by_id.get(key.job_id)
            if step is None or not step.crash_evidence.settle(key.index, loss, points):
                continue
            if job is None or job.is_over() or key.index in step.done:
                continue
            proven = step.crash_evidence.points_by_index.get(key.index, 0)
            self.notes.append(
                notes.LossSettled(key, loss.worker_id, settled, points, proven)
            )
            self._mark_dirty(job)
            self._give_up_crashing(key, now)
            self.needs_pass = True

    def _restore_unproven(self, job, saved, now):
        """Restore the unproven losses of a step from its record.

        Args:
          job: A model.JobEntry.
          saved: A record.StepProgress.
          now: A float.
        """
        for lost in saved.unproven_losses:
            key = messages.TaskKey(job.job_id, saved.time, saved.step, lost.index)
            loss = self._unproven.add(
                lost.worker_id, lost.worker_started_at_ms, lost.address, now
            )
            loss.tasks.append(key)
            self._find_step(key).crash_evidence.add_unproven(lost.index, loss)

    def _give_up_crashing(self, key, now):
        """Fail the job of a task against which enough is proven; see `ending`."""
        raise NotImplementedError
