"""Scheduling passes: start the waiting tasks that fit, highest-ranked steps first."""

import bisect

from thornport.cell.decisions import (
    eligibility,
    lapsing,
    latestarts,
    listing,
    messages,
    model,
    notes,
    placing,
    reserving,
    stalls,
    trials,
    usage,
    yielding,
)
from thornport.cell.decisions.contention import preempting, prospects, sharing, speeds
from thornport.jobs import record
from thornport.kernel import clock

MAX_PASS_STEPS = 80  # steps tried in a pass, to bound its processor time
# The highest-ranked steps, which each pass tries. The others take turns across passes:
# steps that can't start would otherwise starve those behind them.
TOP_RANKED_STEPS = 60
# Of the others, up to this many with new advice are tried first: their tickets might
# lapse before their turn.
MAX_ANSWERED_STEPS = 10


class Passes(lapsing.Lapsing):
    """Decides which tasks start where; starts are sent once recorded durably."""

    def place(self, now, only_urgent=False):
        """Run a scheduling pass.

        Args:
          now: A float.
          only_urgent: Whether to try only steps of the highest priority. They are
            placed as in a full pass: lower-ranked steps take no room from them.
        """
        self.needs_pass = False
        self._try_steps(now, only_urgent)
        self._make_wanted_calls(now, only_urgent)

    def _try_steps(self, now, only_urgent):
        """Start the tasks that can start, and collect the calls for advice to make."""
        self._renew_lists(now, listing.MAX_LIST_AGE_S if only_urgent else 0.0)
        self._renew_recording_tickets(now)
        reserved = reserving.Reservations(now)
        yields = yielding.Yielding(now)
        pressure = preempting.Pressure(self._find_listed, now)
        in_time = prospects.Prospect.IN_TIME
        tried = 0
        ready = self._list_ready(only_urgent, now)
        if not only_urgent:
            self._last_reserved = reserved
            resumed_at, self._resume_at = self._resume_at, None
            ready = order_for_pass(ready, resumed_at, self._rank)
        for job, step in ready:
            if tried >= MAX_PASS_STEPS:
                if not only_urgent:
                    self._resume_at = self._rank((job, step)), step
                break
            step.has_unused_advice = False
            queue = self._queue_of(job)
            if yields.must_yield(job, queue):
                continue
            startable = self.usage.count_startable(step, job.record.workspace)
            self._note_limit(job, step, is_waiting=not startable)
            if not startable:
                # The step waits for its workspace's limit, so no worker is considered.
                continue
            if pressure.waiting:
                startable = pressure.limit_tasks(job, step, queue, startable)
            if not startable:
                continue
            waiting = len(step.waiting)
            candidates = self._try_step(job, step, queue, reserved, startable, now)
            started = waiting - len(step.waiting)
            if started:
                pressure.note_started(queue, step, started)
            tried += self._may_fit(step, candidates, now)
            is_full = not self.usage.count_startable(step, job.record.workspace)
            if step.waiting and not is_full and reserved.may_reserve():
                starts_at = self._reserve(step, queue, candidates, reserved, now)
                if step.spec.gang and starts_at is not None:
                    yields.note_waiting_gang(queue, candidates.workers)
            if job.prospect is in_time and step.waiting and not is_full:
                pressure.note_waiting(job, step, queue, candidates)
        if not only_urgent:
            self._ask_before_lapses(reserved, now)
        self._preempt(pressure, now, only_urgent)

    def _preempt(self, pressure, now, only_urgent):
        """Stop runs of lower priority for urgent tasks that wait for room.

        Args:
          pressure: The preempting.Pressure of the pass.
          now: A float.
          only_urgent: As for `place`; such passes are too many to look for runs.
        """
        if self._stop_s is None or only_urgent:
            return
        victims = preempting.Victims(self._find_job_of_run, self._stop_s, now)
        for waiting in pressure.list_first():
            workers = preempting.list_usable(waiting)
            job = waiting.job
            workers = self._list_fast_enough(job, waiting.step, workers, now)
            victims.choose(waiting, workers)
        for victim in victims.chosen:
            run, step = victim.run, victim.waiting.step
            self.notes.append(
                notes.RunPreempted(
                    run.key,
                    run.run,
                    run.worker_id,
                    step.key.job_id,
                    run.percent,
                    int((now - run.commanded_at) * clock.MS_PER_S),
                )
            )
            self._stop_run(run, now)

    def _find_job_of_run(self, run):
        """Find the model.JobEntry and the priority of a run; None if it is unknown."""
        job = self.jobs_by_id.get(run.key.job_id)
        if job is None or job.is_over():
            return None
        return job, self._queue_of(job).priority

    def _try_step(self, job, step, queue, reserved, startable, now):
        """Start the tasks of a step that fit; ask for advice if some do not start.

        Args:
          startable: An int, how many tasks the workspace's limit lets start now.
        Returns:
          The placing.Candidates of the step.
        """
        candidates = self._find_candidates(step, queue, now)
        started = self._place_step(
            job, step, queue, candidates, reserved, startable, now
        )
        is_overdue = not started and self._is_overdue(job, step, queue, candidates, now)
        if is_overdue:
            reserved.exempt(step)
            candidates = self._find_candidates(step, queue, now, is_last_resort=True)
            if not step.spec.gang and not step.spec.lasting:
                # Only one task may use reserved room; the others respect it.
                startable = 1
            started = self._place_step(
                job, step, queue, candidates, reserved, startable, now, is_overdue
            )
        if step.key not in self._unticketed:
            self._wanted_calls.discard(step.key)
        if started < startable and self._may_fit(step, candidates, now):
            need = self._find_need(queue, is_overdue)
            self._ask_to_start(step, queue, candidates, reserved, need, now)
        return candidates

    def _may_fit(self, step, candidates, now):
        """Whether any candidate may have room for a task of a step.

        A step that fits nowhere costs one comparison and does not use up the pass.
        """
        return self._listed_at < now or candidates.may_fit(step.spec.demand)

    def _is_overdue(self, job, step, queue, candidates, now):
        """Whether a step may use workers of last resort and room reserved for others.

        Suspect workers may be the only ones left, and this step's tasks may succeed
        where others failed. Users allow this to lasting steps however full the service
        is.
        """
        if step.idle_since is None:
            return False
        workers = candidates.workers
        if queue.advice is not None and eligibility.may_disturb(step):
            # Advice will be asked on workers with runs of the other kind too.
            listed = self._find_candidates(step, queue, now, is_last_resort=True)
            shared = [w for w in listed.workers if eligibility.disturbs(step, w)]
            workers = [*workers, *shared]
        advice_s = stalls.compute_advice_s(queue.advice, workers)
        if not stalls.is_past_grace(step, advice_s, now):
            return False
        if step.spec.lasting:
            return True
        if job.is_starting():
            return False
        return self._find_listed(queue.service).used_share < stalls.FULL_SHARE

    def _note_limit(self, job, step, is_waiting):
        """Note that a step starts or stops waiting for its workspace's limit."""
        if step.is_at_limit == is_waiting:
            return
        step.is_at_limit = is_waiting
        name = job.record.workspace
        used = self.usage.used_by_name.get(name, usage.NOTHING)
        limit = self.usage.read_limit(name)
        self.notes.append(
            notes.LimitWait(
                step.key, name, is_waiting, used, limit, self._config_version
            )
        )

    def _list_ready(self, only_urgent, now):
        """List the steps that may start, by rank, and update how long they are idle.

        Args:
          only_urgent: As for `place`.
          now: A float.
        Returns:
          A list of pairs of a job and a step.
        """
        ready = []
        expired_queues = set()
        for job in self._unended_by_id.values():
            if only_urgent and self._queue_of(job).priority > 0:
                continue
            steps = [
                step
                for step in job.steps_by_key.values()
                if step.waiting and self._are_dependencies_done(job, step)
            ]
            if not steps:
                continue
            stalls.record_job_work(job, self.workers_by_id, now)
            if now > job.prospect_until:
                self._update_prospect(job, now)
            if job.prospect is prospects.Prospect.EXPIRED:
                self._rank_expired(job, expired_queues)
            for step in steps:
                stalls.update_idle_since(job, step, now)
                ready.append((job, step))
        ready.sort(key=self._rank)
        return ready

    def _update_prospect(self, job, now):
        """Update the Prospect and the rank of a job with waiting tasks."""
        was = job.prospect
        self._rank_anew(job, now)
        if job.prospect > was:
            waited_s = now - job.accepted_at
            overdue_s = now - job.bounds.in_time_until
            self.notes.append(
                notes.ProspectChanged(
                    job.job_id,
                    job.prospect,
                    int(waited_s * clock.MS_PER_S),
                    int(overdue_s * clock.MS_PER_S),
                )
            )

    def _rank_expired(self, job, expired_queues):
        """Rank an expired job: the oldest of a queue goes on, so none waits for ever.

        Args:
          job: A model.JobEntry.
          expired_queues: A set of the names of queues with an expired job before this
            one, to be updated.
        """
        name = job.record.queue.name
        if name not in expired_queues:
            expired_queues.add(name)
            job.rank = self._rank_job(job, prospects.Prospect.LATE)

    def _rank(self, ready):
        """Rank a pair of a job and a step; the lowest rank is placed first."""
        return ready[0].rank

    def _are_dependencies_done(self, job, step):
        return all(
            job.steps_by_key[
                messages.StepKey(job.job_id, step.key.time, number)
            ].is_done
            for number in step.spec.after
        )

    def _reserve(self, step, queue, candidates, reserved, now):
        """Reserve room for a wide step that waits.

        Returns:
          A float, when the step is expected to start; None if unknown.
        """
        if not reserving.is_wide(step, candidates.median_total):
            return None
        reserved.count_try()
        if queue.advice is None:
            return reserved.reserve(step, candidates.workers)
        good = eligibility.list_good(step, candidates)
        starts_at = reserved.reserve(step, good) if good else None
        self._ask_early(step, queue, candidates, starts_at, now)
        return starts_at

    def _place_step(
        self, job, step, queue, candidates, reserved, startable, now, is_overdue=False
    ):
        """Start tasks of a step on its allowed workers; return how many started."""
        if not self._may_fit(step, candidates, now):
            return 0
        if queue.advice is None:
            workers = candidates.workers
        else:
            workers = eligibility.list_ticketed(step, candidates, now)
        workers = [w for w in workers if self._is_still_eligible(w, candidates, now)]
        if not is_overdue:
            workers = self._list_fast_enough(job, step, workers, now)
        if not workers:
            return 0
        if step.crash_evidence.suspicion_by_index:
            workers = [w for w in workers if trials.may_be_tried(step, w, now)]
        elif not is_overdue:
            workers = self._list_without_trial(workers, now)
        indexes = trials.list_startable(step, self.workers_by_id, now, is_overdue)
        if step.late_by_index:
            indexes = latestarts.list_placeable(step, indexes, self.workers_by_id)
            if not indexes:
                return 0
        indexes = indexes[:startable]
        may_share = candidates.is_last_resort
        return self._start_step(job, step, workers, reserved, indexes, now, may_share)

    def _list_fast_enough(self, job, step, workers, now):
        """List the workers on which an urgent step would not make its job late.

        Once no worker would do, the job is late anyway and takes any. Other work can
        wait for seconds, in which users would consider it lost beside free workers.
        """
        is_urgent = self._queue_of(job).priority == 0
        if not is_urgent or job.prospect is not prospects.Prospect.IN_TIME:
            return workers
        spare_s = job.bounds.in_time_until - now
        return [
            worker
            for worker in workers
            if speeds.is_fast_enough(worker.speed, step.usual_s, spare_s)
        ]

    def _ask_to_start(self, step, queue, candidates, reserved, need, now):
        """Ask for advice on workers with room for a step, if its queue has advice."""
        if queue.advice is not None and self._may_ask(step, now):
            self._ask_advice(step, queue, candidates, reserved, need, now)

    def _list_without_trial(self, workers, now):
        """List the workers on which no task is on trial.

        All tasks that a worker crash ended become startable at the same moment. Started
        together on one worker, they would crash together again, and that crash would
        again count equally against each.
        """
        if not self._trial_ids:
            return workers
        self._trial_ids = {
            worker_id
            for worker_id in self._trial_ids
            if trials.is_on_trial(self.workers_by_id.get(worker_id), now)
        }
        return [w for w in workers if w.worker_id not in self._trial_ids]

    def _start_step(self, job, step, workers, reserved, indexes, now, may_share):
        """Start tasks of a step.

        Args:
          job, step, reserved, now: As for `_try_step`.
          workers: A list of model.Worker that may run the step now.
          indexes: A sorted list of the indexes of tasks that may start now.
          may_share: A bool, as for `placing.assign_step`.
        Returns:
          An int, how many were started.
        """
        wants_fast = self._queue_of(job).priority == 0
        assigned = placing.assign_step(
            step, workers, reserved, wants_fast, indexes, may_share
        )
        if not assigned:
            return 0
        step.last_run += 1
        for assignment in assigned:
            step.waiting.discard(assignment.index)
            key = messages.TaskKey(
                job.job_id, step.key.time, step.key.step, assignment.index
            )
            worker = self.workers_by_id[assignment.worker_id]
            run = model.Run(
                key,
                step.last_run,
                assignment.worker_id,
                step.spec,
                model.RunState.RECORDING,
                address=worker.entry.address,
                worker_started_at_ms=worker.started_at_ms,
                usual_s=step.usual_s,
                decided_at=now,
                decided_at_ms=self._read_wall_ms(now),
                pace_percent=sharing.FULL_PERCENT,
                long_lease_until_ms=self._read_long_lease_ms(worker, now),
            )
            self._take_on_late_start(step, run)
            step.live_by_index[assignment.index] = run
            reserved.note_placed(step, worker)
            self._charge_run(worker, run)
            is_shared = worker.filling_count and worker.serving_count
            if is_shared and eligibility.may_disturb(step):
                self._pause_filling(worker, now)
            suspicion = step.crash_evidence.suspicion_by_index.get(assignment.index)
            if suspicion:
                worker.trial = run
                run.trial_points = suspicion
                self._trial_ids.add(worker.worker_id)
            self._recording.append(run)
        if not step.waiting:
            step.idle_since = None
        job.was_placed = True
        if job.state is record.JobState.QUEUED:
            job.state = record.JobState.RUNNING
        self._mark_dirty(job)
        return len(assigned)


def order_for_pass(ready, resumed_at, rank):
    """Order steps for a pass: the top-ranked, then on from where the last pass ended.

    Some steps with new advice since their last turn go between the two.

    Args:
      ready: A list of pairs of a job and a step, sorted by rank.
      resumed_at: A pair of a rank and a step, the first that the last pass did not
        reach; None if it reached all.
      rank: A callable that ranks a pair.
    Returns:
      A list of the pairs.
    """
    if resumed_at is None or len(ready) <= MAX_PASS_STEPS:
        return ready
    at, resumed = resumed_at
    begin = bisect.bisect_left(ready, at, lo=TOP_RANKED_STEPS, key=rank)
    # All steps of a job share one rank. If the step to resume at is no longer ready,
    # the first of that rank is next.
    for number in range(begin, len(ready)):
        if rank(ready[number]) != at:
            break
        if ready[number][1] is resumed:
            begin = number
            break
    others = ready[begin:] + ready[TOP_RANKED_STEPS:begin]
    answered = [pair for pair in others if pair[1].has_unused_advice][
        :MAX_ANSWERED_STEPS
    ]
    if answered:
        steps = {pair[1] for pair in answered}
        others = answered + [pair for pair in others if pair[1] not in steps]
    return ready[:TOP_RANKED_STEPS] + others
