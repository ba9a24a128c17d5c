"""The decisions of a cell's owner: what is told in, orders and records out.

No I/O and no clock: each method takes the time and leaves orders in `orders`
and jobs to record in `dirty`. A start goes out only once the record that
names it is kept, so a successor knows each worker that may run a task.
"""

import msgspec

from thornport.cell import advising, messages, model, placing, progress
from thornport.jobs import queue as queues
from thornport.jobs import record
from thornport.jobs import spec as specs

HOLD_MS = 6000  # the longest lease that workers grant
# A look that waits: one whose answer is lost hides ends for this long and a
# little, and urgent tasks are late after some tenths of a second.
HOLD_WAIT_MS = 700
IDLE_WAIT_MS = 2000  # where nothing runs there is little to hide; looks are priced
GRANT_SILENCE_S = 1.5  # a look that waits and its time-out, 1.0 s, and a little
# The longest lease by the slowest clock, and an order that was on its way.
EARLIER_LEASE_S = HOLD_MS / 1000 / model.SLOWEST_CLOCK + 0.2
# An entry goes after three heartbeats of silence, 4.5 s; well below that, it went
# because the worker ended.
LEFT_S = 2.5
STOP_RETRY_S = 0.4  # an unanswered stop is sent again
# An owner that can't confirm that it is the owner stops renewing after this;
# longer than the store's outages that the users list (9 s).
UNCONFIRMED_LIMIT_S = 10.0
ROUND_STEPS = 80  # steps tried in a round, to bound its processor time
BATCH_JOBS = 28  # of a transaction's 32 entries, two are conditions, one the head
SUSPECT_FAILURES = 2  # failed runs in a row that make a worker suspect
SUSPECT_S = 4.0  # how long it gets no starts then
# Tasks whose percent has not changed for so long stand still: the longest task of
# the users changes every 0.2 s, and a look waits for 0.7 s at most.
STALLED_S = 1.5
MAX_STALL_AVOID_S = 6.0  # for a worker on which one task after the other stood still
AVOID_S = 0.5  # after an order that a worker did not take
ADVICE_RETRY_S = 0.3  # after a call for advice that failed
INCOMING_S = 5.0  # a job that is not accepted by then was refused
LATE_STATUS_S = 10.0  # beyond the time that a job's state is asked for


class Batch(msgspec.Struct, frozen=True):
    """What one transaction keeps.

    Attributes:
      progress_by_job: Bytes by job id.
      runs: The Runs whose starts may go out once this is kept.
      states: Pairs of job id and record.JobState.
      seen_by_worker: The ends that it has, by worker id; empty if it has not all.
      forgotten: Ids of jobs whose records are removed.
    """

    progress_by_job: dict[str, bytes]
    runs: list[model.Run]
    states: list[tuple[str, record.JobState]]
    seen_by_worker: dict[str, int]
    forgotten: list[str]


class CallAdvice(msgspec.Struct, frozen=True):
    """One of our processes is to call for advice.

    Attributes:
      deadline: A float, when the answer is given up.
    """

    name: str
    address: str
    request: messages.AdviceRequest
    deadline: float


class CellCore:
    """All that an owner knows, and what it decides.

    Attributes:
      orders: Messages to carry out, emptied by `take_orders`.
      dirty: Ids of jobs whose record is out of date, in order.
      jobs_by_id, workers_by_id: The state.
      is_fenced: Whether a worker has seen a higher token: a successor decides.
    """

    def __init__(self, token, now, earlier_over_at, status_s):
        """Begin.

        Args:
          token: An int, the fencing token of this ownership.
          now: A float.
          earlier_over_at: A float, when all that earlier owners started at
            workers that do not answer is over.
          status_s: A float, how long callers ask for a job after its end.
        """
        self.token = token
        self._earlier_over_at = earlier_over_at
        self._status_s = status_s
        self.confirmed_at = now
        self.is_fenced = False
        self.orders = []
        self.dirty = {}
        self.forgotten = {}
        self.jobs_by_id = {}
        self.workers_by_id = {}
        self.callers = advising.Callers()
        self._queues_by_name = {}
        self._next_order = 0
        self._recording = []
        self._open_advice = {}
        self._incoming = {}
        self._unended = {}
        self.needs_round = False
        self._wall_ms = 0

    def end_earlier(self, now):
        """Take that no earlier owner gives orders any more.

        What it renewed last is over within the longest lease.

        Args:
          now: A float.
        """
        over_at = now + EARLIER_LEASE_S
        self._earlier_over_at = min(self._earlier_over_at, over_at)
        for worker in self.workers_by_id.values():
            worker.unheard_until = min(worker.unheard_until, over_at)

    # What is told of configuration, workers and jobs.

    def take_config(self, config):
        """Take a newer configuration."""
        self._queues_by_name = {queue.name: queue for queue in config.queues}
        self.needs_round = True

    def take_worker(self, entry, now):
        """Take a worker's entry, new or changed.

        Args:
          entry: A messages.WorkerEntry.
          now: A float.
        """
        worker = self.workers_by_id.get(entry.worker_id)
        if worker is None:
            worker = model.Worker(entry, self._earlier_over_at)
            self.workers_by_id[entry.worker_id] = worker
            self._end_replaced(entry, now)
        worker.entry = entry
        worker.is_listed = True
        self.needs_round = True

    def _end_replaced(self, entry, now):
        """A new life at an address ends the earlier one there."""
        for worker in list(self.workers_by_id.values()):
            is_other = worker.worker_id != entry.worker_id
            if is_other and worker.entry.address == entry.address:
                self.end_worker(worker, now)

    def drop_worker(self, worker_id):
        """Take that the store no longer lists a worker; it may still run."""
        worker = self.workers_by_id.get(worker_id)
        if worker is not None:
            worker.is_listed = False

    def keep_listed(self, listed_ids):
        """Take a whole list of workers."""
        for worker_id in set(self.workers_by_id) - listed_ids:
            self.drop_worker(worker_id)

    def take_job(self, kept, now):
        """Take an accepted job.

        Args:
          kept: A record.JobRecord.
          now: A float.
        """
        if kept.job_id in self.jobs_by_id:
            return
        job = self._incoming.pop(kept.job_id, None)
        if job is None or job.record != kept:
            job = self._make_job(kept, now)
        self.jobs_by_id[kept.job_id] = job
        self._unended[kept.job_id] = job
        self.needs_round = True

    def _make_job(self, kept, now):
        self._next_order += 1
        job = model.JobEntry(kept, self._next_order, now)
        if not kept.job.repeats:
            self._begin_time(job, 0)
        return job

    def accept_incoming(self, job_id, now):
        """Take that a job that was incoming is accepted."""
        job = self._incoming.get(job_id)
        if job is not None:
            self.take_job(job.record, now)

    def take_incoming(self, kept, now):
        """Take a job that may come to be accepted, to call for its advice.

        Nothing of it starts before `take_job`.

        Args:
          kept: A record.JobRecord.
          now: A float.
        """
        if kept.job_id in self.jobs_by_id or kept.job_id in self._incoming:
            return
        job = self._incoming[kept.job_id] = self._make_job(kept, now)
        for step in list(job.steps_by_key.values()):
            if not step.spec.after:
                queue = self._queue_of(job)
                self._ask_advice(step, queue, self._list_allowed(step, queue, now), now)

    def _begin_time(self, job, time):
        for number in range(len(job.record.job.steps)):
            progress.make_step_state(job, time, number)

    def restore_progress(self, job_id, kept, now):
        """Take the record of how far a job had come under an earlier owner.

        Args:
          job_id: A str; the job was taken before.
          kept: A record.Progress.
          now: A float.
        """
        job = self.jobs_by_id.get(job_id)
        if job is None:
            return
        job.state = job.shown_state = kept.state
        job.times_done = kept.times_done
        job.has_begun = kept.state is not record.JobState.QUEUED
        if job.is_over():
            job.ended_at = now
            job.steps_by_key.clear()
            self._unended.pop(job_id, None)
        for step_kept in kept.steps:
            _, runs = progress.restore_step(job, step_kept)
            for run in runs:
                self._attach_run(run, now)

    def _attach_run(self, run, now):
        worker = self.workers_by_id.get(run.worker_id)
        if worker is None:
            entry = messages.WorkerEntry(
                run.worker_id, "", "", "", messages.WorkerState.DRAINING, run.demand
            )
            worker = model.Worker(entry, self._earlier_over_at, is_listed=False)
            self.workers_by_id[run.worker_id] = worker
        worker.add_run(run)

    def take_cancel(self, job_id, now):
        """Take an accepted cancel."""
        job = self.jobs_by_id.get(job_id)
        if job is None or job.is_over():
            return
        self._end_job(job, record.JobState.CANCELLED, now)

    # Looks at workers.

    def make_hold(self, worker_id, now):
        """Make the next look at a worker.

        Args:
          worker_id: A str.
          now: A float.
        Returns:
          A messages.HoldRequest, or None when the worker needs none.
        """
        worker = self.workers_by_id.get(worker_id)
        if worker is None or not worker.entry.address:
            return None
        if now - self.confirmed_at > UNCONFIRMED_LIMIT_S:
            return None
        if not worker.is_heard:
            return messages.HoldRequest(
                worker_id, worker.entry.address, self.token, 0, 0, 0
            )
        deadline_ms = self._grant(worker, now)
        is_acked = worker.acked_number >= worker.seen_number
        wait_ms = HOLD_WAIT_MS if worker.runs_by_key else IDLE_WAIT_MS
        return messages.HoldRequest(
            worker_id,
            worker.entry.address,
            self.token,
            deadline_ms,
            worker.acked_number,
            wait_ms if is_acked else 0,
        )

    def is_urgent_at(self, worker_id):
        """Tell whether a run of the first priority is live at a worker."""
        worker = self.workers_by_id.get(worker_id)
        if worker is None:
            return False
        jobs = (self.jobs_by_id.get(key.job_id) for key in worker.runs_by_key)
        return any(job and self._queue_of(job).priority == 0 for job in jobs)

    def _grant(self, worker, now):
        """Say how long a worker may run on; a silent one gets nothing more.

        Each longer deadline that is sent may arrive, so the leases of a worker
        that does not answer are over only if this stops.
        """
        if now - worker.heard_at <= GRANT_SILENCE_S:
            deadline_ms = worker.read_clock_ms(now) + HOLD_MS
            worker.granted_ms = max(worker.granted_ms, deadline_ms)
        return worker.granted_ms

    def take_hold(self, request, sent_at, answer, now):
        """Take the answer to a look.

        Args:
          request: The messages.HoldRequest.
          sent_at: A float.
          answer: A messages.HoldAnswer, Rejected, NotReached or Unanswered.
          now: A float.
        """
        worker = self.workers_by_id.get(request.worker_id)
        if worker is None:
            return
        if isinstance(answer, messages.Rejected):
            self._take_rejected_look(worker, answer, now)
            return
        if not isinstance(answer, messages.HoldAnswer):
            # Orders would fail as this look did; the next look clears it.
            worker.avoid_until = max(worker.avoid_until, now + AVOID_S)
            if has_left(worker, answer, now):
                self.end_worker(worker, now)
            return
        worker.clock_ms = answer.clock_ms
        worker.heard_at = now
        for end in sorted(answer.ended, key=lambda end: end.number):
            self._take_end(worker, end, now)
        self._take_running(worker, answer, sent_at, now)
        if not worker.is_heard:
            worker.is_heard = True
            worker.granted_ms = max(worker.granted_ms, worker.clock_ms + HOLD_MS)
        self.needs_round = True

    def _take_rejected_look(self, worker, answer, now):
        if answer.reason is messages.Rejection.FENCED:
            self.is_fenced = True
        elif answer.reason is messages.Rejection.REPLACED:
            self.end_worker(worker, now)
        else:
            worker.avoid_until = max(worker.avoid_until, now + AVOID_S)

    def _take_running(self, worker, answer, sent_at, now):
        rows_by_key = {(row.key, row.run): row for row in answer.running}
        for run in list(worker.runs_by_key.values()):
            row = rows_by_key.pop((run.key, run.run), None)
            if row is None:
                self._take_absent(worker, run, sent_at, now)
            else:
                self._take_present(run, row, now)
        for row in rows_by_key.values():
            self._stop_unknown(worker, row, now)
        self._judge_progress(worker, now)

    def _judge_progress(self, worker, now):
        """Move tasks from a worker on which all stand still."""
        running = [
            run
            for run in worker.runs_by_key.values()
            if run.state is model.RunState.RUNNING
            # A gang's member waits for the others before it makes progress.
            and (run.percent > 0 or not run.step.gang)
            and not run.step.lasting
        ]
        if any(now - run.percent_at <= STALLED_S for run in running):
            if any(run.percent > 0 for run in running):
                worker.stalls = 0
            return
        if not running:
            return
        worker.stalls += 1
        avoid_s = min(MAX_STALL_AVOID_S, STALLED_S * 2**worker.stalls)
        worker.avoid_until = max(worker.avoid_until, now + avoid_s)
        for run in running:
            # A gang would lose the work of all its members.
            if not run.step.gang:
                self._stop_run(run, now)

    def _take_present(self, run, row, now):
        if run.state in (model.RunState.ORDERED, model.RunState.UNHEARD):
            run.state = model.RunState.RUNNING
            run.percent_at = now
            job = self.jobs_by_id.get(run.key.job_id)
            if job is not None and job.is_over():
                self._stop_run(run, now)
        if row.percent != run.percent:
            run.percent, run.percent_at = row.percent, now
        step = self._find_step(run.key)
        if step is not None and row.checkpoint:
            step.checkpoints_by_index[step.index_for(run.key.index)] = row.checkpoint

    def _take_absent(self, worker, run, sent_at, now):
        """A live run that the worker does not list, nor its end."""
        if run.state is model.RunState.UNHEARD or (
            run.stop_confirmed_at is not None and sent_at > run.stop_confirmed_at
        ):
            self._release_run(run, now)

    def _stop_unknown(self, worker, row, now):
        """A run of an earlier owner that no record names: it is not needed."""
        step = self._find_step(row.key)
        # Of a job that is not known, it may take the whole worker.
        unknown = specs.Step(1, worker.entry.total)
        spec = step.spec if step is not None else unknown
        if row.key in worker.runs_by_key:
            return
        run = model.Run(
            row.key, row.run, worker.worker_id, spec, model.RunState.RUNNING
        )
        worker.add_run(run)
        self._stop_run(run, now)

    # Ends of runs.

    def _take_end(self, worker, end, now):
        if end.number <= worker.seen_number:
            return
        worker.seen_number = end.number
        run = worker.runs_by_key.get(end.key)
        if run is None or run.run != end.run:
            return
        step = self._find_step(end.key)
        is_current = step is not None and step.live_by_index.get(end.key.index) is run
        self._judge_worker(worker, end, now)
        if step is not None and end.checkpoint:
            step.checkpoints_by_index[step.index_for(end.key.index)] = end.checkpoint
        if not is_current:
            worker.remove_run(run)
            self.needs_round = True
            return
        if end.kind is messages.EndKind.DONE and not step.spec.lasting:
            if run.ordered_at is not None and not step.checkpoints_by_index:
                worker.note_pace(now - run.ordered_at, step.spec.estimate_ms)
            self._take_done(step, run)
        elif end.kind is messages.EndKind.FAILED and not step.spec.lasting:
            self._take_failed(step, run)
        self._release_run(run, now)

    def _judge_worker(self, worker, end, now):
        """Tell workers that fail all they start from tasks that fail anywhere."""
        if end.kind is messages.EndKind.DONE:
            worker.failures = 0
        elif end.kind is messages.EndKind.FAILED:
            worker.failures += 1
            if worker.failures >= SUSPECT_FAILURES:
                worker.avoid_until = max(worker.avoid_until, now + SUSPECT_S)

    def _take_done(self, step, run):
        if step.spec.gang:
            # The members end done together, so one end stands for all.
            step.done = set(range(step.spec.count))
        else:
            step.done.add(run.key.index)
        step.is_done = len(step.done) == step.spec.count

    def _take_failed(self, step, run):
        index = step.index_for(run.key.index)
        step.failures_by_index[index] = step.failures_by_index.get(index, 0) + 1
        step.avoided_by_index.setdefault(index, set()).add(run.worker_id)

    def _release_run(self, run, now):
        """A run is surely over: its room is free, its task may go on."""
        run.state = model.RunState.OVER
        worker = self.workers_by_id.get(run.worker_id)
        if worker is not None:
            worker.remove_run(run)
        self.needs_round = True
        job = self.jobs_by_id.get(run.key.job_id)
        step = self._find_step(run.key)
        if step is None or step.live_by_index.get(run.key.index) is not run:
            return
        del step.live_by_index[run.key.index]
        if step.is_done and step.is_advanced:
            return
        self._mark(job)
        if job.is_over():
            return
        if step.is_done:
            step.is_advanced = True
            self._advance(job, step, now)
        elif step.spec.gang:
            self._release_gang(job, step, now)
        elif run.key.index not in step.done:
            step.waiting.add(run.key.index)
            self._check_failed(job, step, run.key.index, now)

    def _release_gang(self, job, step, now):
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
        self._end_job(job, record.JobState.FAILED, now)
        return True

    def _advance(self, job, step, now):
        time = step.key.time
        count = len(job.record.job.steps)
        keys = [messages.StepKey(job.job_id, time, n) for n in range(count)]
        if not all(job.steps_by_key[key].is_done for key in keys):
            return
        if not job.record.job.repeats:
            self._end_job(job, record.JobState.SUCCEEDED, now)
            return
        self._count_times(job)
        if job.times_done >= job.record.job.repeats:
            self._end_job(job, record.JobState.SUCCEEDED, now)

    def _count_times(self, job):
        count = len(job.record.job.steps)
        while True:
            time = job.times_done
            keys = [messages.StepKey(job.job_id, time, n) for n in range(count)]
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
        self._unended.pop(job.job_id, None)
        for step in job.steps_by_key.values():
            step.waiting.clear()
            if state is record.JobState.SUCCEEDED:
                continue
            for run in list(step.live_by_index.values()):
                self._stop_run(run, now)
        self._mark(job)
        self.needs_round = True

    # Starting and stopping runs.

    def _stop_run(self, run, now):
        if run.state in (model.RunState.STOPPING, model.RunState.OVER):
            return
        if run.state is model.RunState.RECORDING:
            # No order went out, and none will: only RECORDING runs are ordered.
            self._release_run(run, now)
            return
        run.state = model.RunState.STOPPING
        self._send_stop(run, now)

    def _send_stop(self, run, now):
        run.stop_due_at = now + STOP_RETRY_S
        worker = self.workers_by_id.get(run.worker_id)
        if worker is None or not worker.entry.address:
            return
        order = messages.StopOrder(
            run.worker_id, worker.entry.address, run.key, run.run, self.token
        )
        self.orders.append(order)

    def take_stop_outcome(self, order, outcome, now):
        """Take the answer to a stop.

        Args:
          order: The messages.StopOrder.
          outcome: A messages.Done, Rejected, NotReached or Unanswered.
          now: A float.
        """
        worker = self.workers_by_id.get(order.worker_id)
        if worker is None:
            return
        run = worker.runs_by_key.get(order.key)
        if isinstance(outcome, messages.Rejected):
            self._take_rejected_look(worker, outcome, now)
        elif isinstance(outcome, messages.Done) and run and run.run == order.run:
            run.stop_confirmed_at = now

    def take_start_outcome(self, order, outcome, now):
        """Take the answer to a start.

        Args:
          order: The messages.StartOrder.
          outcome: A messages.Done, Rejected, NotReached or Unanswered.
          now: A float.
        """
        worker = self.workers_by_id.get(order.worker_id)
        run = worker.runs_by_key.get(order.key) if worker else None
        if run is None or run.run != order.run:
            return
        if isinstance(outcome, messages.Done):
            if run.state is model.RunState.ORDERED:
                run.state = model.RunState.RUNNING
        elif isinstance(outcome, messages.Unanswered):
            worker.avoid_until = max(worker.avoid_until, now + AVOID_S)
            self._stop_run(run, now)
        elif isinstance(outcome, messages.NotReached):
            worker.avoid_until = max(worker.avoid_until, now + AVOID_S)
            self._release_run(run, now)
        else:
            self._take_rejected_start(worker, run, outcome, now)

    def _take_rejected_start(self, worker, run, outcome, now):
        if outcome.reason is messages.Rejection.TICKET:
            step = self._find_step(run.key)
            if step is not None:
                step.tickets_by_worker.pop(worker.worker_id, None)
        else:
            self._take_rejected_look(worker, outcome, now)
        if not self.is_fenced:
            self._release_run(run, now)

    def end_worker(self, worker, now):
        """A worker's life is over: so is all that ran there."""
        self.workers_by_id.pop(worker.worker_id, None)
        for run in list(worker.runs_by_key.values()):
            self._release_run(run, now)

    # Rounds of placement.

    def place(self, now):
        """Start what can start, the foremost steps first."""
        self.needs_round = False
        candidates_by_kind = {}
        tried = 0
        for job, step in self._list_ready():
            queue = self._queue_of(job)
            kind = (queue.service, placing.read_kind(step))
            if kind not in candidates_by_kind:
                allowed = self._list_allowed(step, queue, now)
                candidates_by_kind[kind] = placing.Candidates(allowed)
            candidates = candidates_by_kind[kind]
            # What no worker has room for costs a comparison, and holds up nothing.
            if candidates.may_hold(step.spec.demand):
                self._place_step(job, step, queue, candidates.workers, now)
                tried += 1
            if tried >= ROUND_STEPS:
                return

    def _list_ready(self):
        ready = []
        for job in self._unended.values():
            for step in job.steps_by_key.values():
                if step.waiting and self._is_due(job, step):
                    ready.append((job, step))
        ready.sort(key=lambda pair: (self._queue_of(pair[0]).priority, pair[0].order))
        return ready

    def _is_due(self, job, step):
        return all(
            job.steps_by_key[
                messages.StepKey(job.job_id, step.key.time, number)
            ].is_done
            for number in step.spec.after
        )

    def _place_step(self, job, step, queue, allowed, now):
        if queue.advice is None:
            self._start_step(job, step, allowed, now)
            return
        ticketed = [w for w in allowed if placing.has_ticket(step, w, now)]
        if ticketed:
            self._start_step(job, step, ticketed, now)
        if step.waiting and not step.is_advising:
            self._ask_advice(step, queue, allowed, now)

    def _list_allowed(self, step, queue, now):
        return [
            worker
            for worker in self.workers_by_id.values()
            if worker.entry.service == queue.service
            and placing.is_allowed(step, worker, now)
        ]

    def _ask_advice(self, step, queue, allowed, now):
        if now < step.retry_advice_at:
            return
        wanted = [
            worker
            for worker in allowed
            if worker.worker_id not in step.asked_ids
            or (
                worker.worker_id in step.good_ids
                and not placing.has_ticket(step, worker, now)
            )
        ]
        # What is known to be good is worth a call only if it has room.
        hopeful = [
            worker
            for worker in allowed
            if worker.worker_id not in step.asked_ids
            or worker.worker_id in step.good_ids
        ]
        if not wanted or not placing.has_room(step, hopeful):
            return
        wanted = wanted[:100]
        cost_s = (queue.advice.base_ms + queue.advice.worker_ms * len(wanted)) / 1000
        chosen = self.callers.choose(cost_s, now)
        if chosen is None:
            return
        caller, deadline = chosen
        step.is_advising = True
        request = messages.AdviceRequest(step.key, tuple(w.worker_id for w in wanted))
        call = CallAdvice(caller.name, caller.address, request, deadline)
        self._open_advice[step.key] = call
        self.orders.append(call)

    def take_advice(self, request, answer, age_s, now):
        """Take the answer to a call for advice.

        Args:
          request: The messages.AdviceRequest.
          answer: A messages.AdviceAnswer, or None when the call failed.
          age_s: A float, how long ago the answer came to the caller.
          now: A float.
        """
        open_call = self._open_advice.get(request.step)
        if open_call is None or open_call.request != request:
            return
        del self._open_advice[request.step]
        step = self._find_step(request.step)
        if step is None:
            return
        step.is_advising = False
        if answer is None:
            step.retry_advice_at = now + ADVICE_RETRY_S
            return
        deadline = now - age_s + answer.valid_ms / 1000
        step.asked_ids.update(request.worker_ids)
        for ticket in answer.good:
            step.good_ids.add(ticket.worker_id)
            step.tickets_by_worker[ticket.worker_id] = (ticket.text, deadline)
        self.needs_round = True

    def _start_step(self, job, step, workers, now):
        wants_fast = self._queue_of(job).priority == 0
        assigned = placing.assign_step(step, workers, wants_fast)
        if not assigned:
            return
        step.last_run += 1
        for assignment in assigned:
            step.waiting.discard(assignment.index)
            key = messages.TaskKey(
                job.job_id, step.key.time, step.key.step, assignment.index
            )
            run = model.Run(
                key,
                step.last_run,
                assignment.worker_id,
                step.spec,
                model.RunState.RECORDING,
            )
            step.live_by_index[assignment.index] = run
            self.workers_by_id[assignment.worker_id].add_run(run)
            self._recording.append(run)
        job.has_begun = True
        if job.state is record.JobState.QUEUED:
            job.state = record.JobState.RUNNING
        self._mark(job)

    # Keeping records.

    def make_batch(self):
        """Take the next records to keep.

        Returns:
          A Batch, or None when there is nothing to keep.
        """
        if not self.dirty and not self.forgotten:
            return None
        job_ids = list(self.dirty)[:BATCH_JOBS]
        for job_id in job_ids:
            del self.dirty[job_id]
        jobs = [self.jobs_by_id[j] for j in job_ids if j in self.jobs_by_id]
        chosen = set(job_ids)
        runs = [run for run in self._recording if run.key.job_id in chosen]
        self._recording = [r for r in self._recording if r.key.job_id not in chosen]
        seen = {}
        if not self.dirty:
            seen = {w.worker_id: w.seen_number for w in self.workers_by_id.values()}
        forgotten = list(self.forgotten)[: (BATCH_JOBS - len(jobs)) // 3]
        for job_id in forgotten:
            del self.forgotten[job_id]
        return Batch(
            {
                job.job_id: record.encode_record(progress.make_progress(job))
                for job in jobs
            },
            runs,
            [(job.job_id, job.state) for job in jobs],
            seen,
            forgotten,
        )

    def take_kept(self, batch, sent_at, now):
        """Take that a batch is in the store: its starts may go out.

        Args:
          batch: The Batch, or None when only the ownership was confirmed.
          sent_at: A float, when the transaction was sent.
          now: A float.
        """
        self.confirmed_at = sent_at
        if batch is None:
            return
        for job_id, state in batch.states:
            job = self.jobs_by_id.get(job_id)
            if job is None:
                continue
            job.shown_state = state
            if state in record.FINAL_STATES and job.ended_at is None:
                job.ended_at = now
        for worker_id, number in batch.seen_by_worker.items():
            worker = self.workers_by_id.get(worker_id)
            if worker is not None:
                worker.acked_number = max(worker.acked_number, number)
        for run in batch.runs:
            if run.state is model.RunState.RECORDING:
                self._send_start(run, now)

    def _send_start(self, run, now):
        worker = self.workers_by_id.get(run.worker_id)
        job = self.jobs_by_id[run.key.job_id]
        step = self._find_step(run.key)
        ticket, deadline = step.tickets_by_worker.get(run.worker_id, ("", None))
        if deadline is not None and now > deadline:
            # Keeping the record took longer than the ticket holds.
            self._release_run(run, now)
            return
        run.state = model.RunState.ORDERED
        run.ordered_at = run.percent_at = now
        self.orders.append(
            messages.StartOrder(
                run.worker_id,
                worker.entry.address,
                run.key,
                run.run,
                job.record.job.text,
                self._grant(worker, now),
                self.token,
                step.checkpoints_by_index.get(step.index_for(run.key.index), ""),
                ticket,
            )
        )

    # Time.

    def tick(self, now, wall_ms):
        """Do what is due: lapsed leases, repeated stops, times, old jobs.

        Args:
          now: A float.
          wall_ms: An int, milliseconds since 1970.
        """
        self._wall_ms = wall_ms
        for worker in list(self.workers_by_id.values()):
            self._tick_worker(worker, now)
        for call in list(self._open_advice.values()):
            if now > call.deadline:
                self.callers.distrust(call.name, now)
                self.take_advice(call.request, None, 0.0, now)
        for job in list(self._incoming.values()):
            if now - job.arrived_at > INCOMING_S:
                del self._incoming[job.job_id]
        for job in list(self._unended.values()):
            if job.record.job.repeats:
                self._begin_due_times(job, wall_ms)
        self._forget_old(now)
        self.needs_round = True

    def _tick_worker(self, worker, now):
        if now > worker.compute_lapse_at():
            if not worker.is_listed:
                self.end_worker(worker, now)
                return
            for run in list(worker.runs_by_key.values()):
                self._release_run(run, now)
        for run in list(worker.runs_by_key.values()):
            is_stopping = run.state is model.RunState.STOPPING
            if is_stopping and run.stop_confirmed_at is None and now >= run.stop_due_at:
                self._send_stop(run, now)

    def _begin_due_times(self, job, wall_ms):
        spec = job.record.job
        for time in range(job.times_done, spec.repeats):
            if wall_ms < spec.first_at_ms + time * spec.interval_ms:
                return
            key = messages.StepKey(job.job_id, time, 0)
            if key not in job.steps_by_key:
                self._begin_time(job, time)

    def _forget_old(self, now):
        limit_s = self._status_s + LATE_STATUS_S
        for job in list(self.jobs_by_id.values()):
            is_old = job.ended_at is not None and now - job.ended_at > limit_s
            if is_old and not any(s.live_by_index for s in job.steps_by_key.values()):
                del self.jobs_by_id[job.job_id]
                self.forgotten[job.job_id] = None

    # Reading.

    def take_orders(self):
        """Take the messages to carry out."""
        orders, self.orders = self.orders, []
        return orders

    def read_state(self, job_id):
        """The kept record.JobState of a job, or None if it is not known."""
        job = self.jobs_by_id.get(job_id)
        return None if job is None else job.shown_state

    def count_waiting(self):
        """Count the jobs of which no task has begun, by queue name."""
        counts = {}
        for job in self._unended.values():
            if not job.has_begun and not job.record.job.repeats:
                name = job.record.queue.name
                counts[name] = counts.get(name, 0) + 1
        return counts

    def _queue_of(self, job):
        """The queue as configured now, or as it was when the job was taken."""
        queue = self._queues_by_name.get(job.record.queue.name)
        return queue if isinstance(queue, queues.Queue) else job.record.queue

    def _find_step(self, key):
        job = self.jobs_by_id.get(key.job_id) or self._incoming.get(key.job_id)
        if job is None:
            return None
        return job.steps_by_key.get(messages.StepKey(key.job_id, key.time, key.step))

    def _mark(self, job):
        self.dirty[job.job_id] = None


def has_left(worker, answer, now):
    """Tell whether a worker has ended as it said it would.

    It was draining, answered a moment ago, its port refuses now, and the store
    does not list it: an entry of a worker that is merely silent stays longer.

    Args:
      worker: A model.Worker.
      answer: A messages.NotReached or Unanswered.
      now: A float.
    Returns:
      A bool.
    """
    return (
        isinstance(answer, messages.NotReached)
        and answer.is_refused
        and worker.is_heard
        and not worker.is_listed
        and worker.entry.state is messages.WorkerState.DRAINING
        and now - worker.heard_at < LEFT_S
    )
