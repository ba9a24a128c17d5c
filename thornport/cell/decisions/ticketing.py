"""Requests advice and stores the tickets that it returns.

Tasks of some queues run only on workers that advice allows. Advice is slow and priced,
so it is requested ahead of the start, and only for workers that could run tasks.
"""

import itertools

import msgspec
import xxhash

from thornport.cell.decisions import (
    advising,
    asking,
    eligibility,
    listing,
    messages,
    model,
    placing,
    stalls,
)
from thornport.cell.decisions.contention import prospects
from thornport.kernel import clock

ADVICE_RETRY_S = 0.3  # after a call for advice that failed
# Beyond the duration of a call, for a step past its grace: a busy process answers late,
# and a call that times out is made again by another process.
OVERDUE_SLACK_S = 0.3
# Workers named in a short call, per waiting task and in addition: a quarter of the
# workers may be good for a step, and other steps take room meanwhile. Naming a hundred
# for each urgent job of three tasks made answers of 4 KB that were mostly unused.
ASKED_PER_TASK = 4
ASKED_BASE = 8
# Workers scanned for a step's room in one scheduling pass, well above the hundred that
# a call names. Scanning all of 1,000 workers for each step doubled the processor time
# at 330 jobs a second, and a pass took up to half a second, during which the owner
# sends no heartbeat and is replaced. A cell of 270 workers is scanned whole.
MAX_SCANNED_WORKERS = 400
# Enough workers are known to be good once they could hold, empty, this many times the
# tasks of the step.
GOOD_MULTIPLE = 3
# Tickets are requested to arrive this long before room is expected: runs may end early,
# and a ticket is valid for 2 s.
TICKET_LEAD_S = 0.4


class CallAdvice(msgspec.Struct, frozen=True):
    """A command to one of our processes to call for advice.

    Attributes:
      deadline: A float, when to stop waiting for the answer.
      fences: Ints, the fences of the incarnations of the workers that it names, in
        order; the answer holds for those alone.
    """

    name: str
    address: str
    request: messages.AdviceRequest
    deadline: float
    fences: tuple[int, ...]


class Ticketing(listing.Listing):
    """Requests advice for steps and processes the answers."""

    def _ask_advice(self, step, queue, candidates, reserved, need, now, tasks=None):
        """Request advice for a step that could start now, first on workers with room.

        The fixed part dominates a long call, so a long call names more workers.

        Args:
          step: A model.StepState.
          queue: A queue.Queue with advice.
          candidates: A placing.Candidates.
          reserved: A reserving.Reservations.
          need: An asking.Need.
          now: A float.
          tasks: An int, how many tasks are to start; None for all that wait.
        """
        tasks = len(step.waiting) if tasks is None else tasks
        ticketed = eligibility.list_ticketed(step, candidates, now)
        ticketless = self._list_ticketless(step, candidates, now)
        is_long = queue.advice.base_ms / clock.MS_PER_S >= advising.LONG_CALL_S
        count = advising.MAX_ASKED_WORKERS if is_long else count_asked(tasks)
        with_room = list_with_room(step, ticketless, reserved)
        may_share = candidates.is_last_resort
        if not placing.has_room(
            step, [*ticketed, *with_room], reserved, tasks, may_share
        ):
            # The workers known to be good are full; some of the others may be good.
            unknown = itertools.islice(
                iterate_unasked(step, candidates), MAX_SCANNED_WORKERS
            )
            if may_share:
                unknown = sorted(
                    unknown, key=lambda worker: eligibility.disturbs(step, worker)
                )
            found = take_with_room(step, unknown, reserved, count)
            if not found:
                # Few workers may be large enough; the next pass continues from here.
                step.scan_offset += MAX_SCANNED_WORKERS
            with_room += found
        if not with_room or not placing.has_room(
            step, [*ticketed, *with_room], reserved, may_share=may_share
        ):
            return
        with_room_ids = {worker.worker_id for worker in with_room}
        others = ticketless
        if len(with_room) < count and not self._knows_enough(step, candidates):
            unknown = iterate_unasked(step, candidates)
            others = ticketless + list(itertools.islice(unknown, count))
        others = [w for w in others if w.worker_id not in with_room_ids]
        self._want_advice(step, queue, [*with_room, *others][:count], need)

    def _ask_early(self, step, queue, candidates, starts_at, now):
        """Request advice for a step that can't start yet.

        Which workers are good never changes and is requested at once, because capacity
        is reserved on good workers alone. Their tickets are renewed in time for the
        expected room. In a cell of hundreds of workers not all are named: a call for a
        hundred takes as long as its tickets are valid, and steps waited 20 s for the
        remaining calls.

        Args:
          step: A model.StepState.
          queue: A queue.Queue with advice.
          candidates: A placing.Candidates.
          starts_at: A float, when it is expected to start; None if unknown.
          now: A float.
        """
        if not self._may_ask(step, now):
            return
        if not self._knows_enough(step, candidates):
            unknown = itertools.islice(
                iterate_unasked(step, candidates), advising.MAX_ASKED_WORKERS
            )
            asked = list(unknown)
            if asked:
                self._want_advice(step, queue, asked, asking.Need.IN_TURN)
                return
        ticketless = self._list_ticketless(step, candidates, now)
        lead_s = compute_lead_s(queue.advice, ticketless)
        if ticketless and starts_at is not None and starts_at - now <= lead_s:
            self._want_advice(step, queue, ticketless, asking.Need.IN_TURN)

    def _renew_recording_tickets(self, now):
        """Request the tickets that recording runs wait for.

        Such a call names only the workers of those runs. It goes before calls for the
        step's other tasks, because the runs already occupy room.
        """
        for key, runs in self._unticketed.items():
            step = self._find_step(key)
            if step is None or not self._may_ask(step, now):
                continue
            recording = model.RunState.RECORDING
            worker_ids = {run.worker_id for run in runs if run.state is recording}
            if not worker_ids:
                continue
            # Workers beyond the limit of a call are named in later calls.
            earliest_first = sorted(sorted(worker_ids), key=step.read_ticket_deadline)
            workers = [self.workers_by_id[worker_id] for worker_id in earliest_first]
            queue = self._queue_of(self.jobs_by_id[key.job_id])
            self._want_advice(step, queue, workers, asking.Need.NOW)

    def _may_ask(self, step, now):
        """Whether a step has no open or wanted call and is not in its retry delay."""
        is_asked = step.is_advising or self._wanted_calls.has_step(step.key)
        return not is_asked and now >= step.retry_advice_at

    def _knows_enough(self, step, candidates):
        """Whether the known good workers suffice, so that no others need be named."""
        good = eligibility.list_good(step, candidates)
        wanted = GOOD_MULTIPLE * step.spec.count
        return placing.count_places(step, good, GOOD_MULTIPLE) >= wanted

    def _list_ticketless(self, step, candidates, now):
        """List the workers that are good for a step but have no valid ticket."""
        good = eligibility.list_good(step, candidates)
        return [
            worker for worker in good if not eligibility.has_ticket(step, worker, now)
        ]

    def _find_need(self, queue, is_overdue):
        """Determine the asking.Need of a call for a step that has room."""
        is_full = self._find_listed(queue.service).used_share >= stalls.FULL_SHARE
        return asking.find_need(queue, is_overdue, is_full)

    def _want_advice(self, step, queue, workers, need):
        """Add a wanted call, to be made as soon as a process is free."""
        job = self.jobs_by_id.get(step.key.job_id)
        job = job or self._incoming_by_id[step.key.job_id]
        workers = workers[: advising.MAX_ASKED_WORKERS]
        is_long = advising.compute_cost_s(queue.advice, workers) >= advising.LONG_CALL_S
        self._wanted_calls.add(
            asking.WantedCall(step, queue, workers, need, job.rank, is_long)
        )

    def _rank_anew(self, job, now):
        """Find the Prospect of a job, and rank it by that.

        Args:
          job: A model.JobEntry.
          now: A float.
        """
        job.prospect = prospects.find_prospect(job.bounds, now)
        job.prospect_until = prospects.find_next_change(job.bounds, job.prospect)
        job.rank = self._rank_job(job, job.prospect)

    def _rank_job(self, job, prospect):
        """Rank a job; steps of the lowest rank are placed first.

        Args:
          job: A model.JobEntry.
          prospect: Its prospects.Prospect.
        Returns:
          A tuple.
        """
        priority = self._queue_of(job).priority
        return priority, prospects.rank(prospect, job.is_within_share), job.order

    def _make_wanted_calls(self, now, only_urgent=False):
        """Make the wanted calls that processes are free for, by need.

        Args:
          now: A float.
          only_urgent: Whether to make only calls of queues of the first priority.
        """
        calls = []
        for call in self._wanted_calls.list_calls(only_urgent):
            if self._is_still_wanted(call, now):
                calls.append(call)
            else:
                self._wanted_calls.discard(call.step.key)
        while calls:
            call = self._advice_shares.choose(calls)
            if self._call_advice(call, now):
                self._wanted_calls.discard(call.step.key)
                calls.remove(call)
            else:
                # No process is free for the other calls of this kind either.
                calls = [one for one in calls if one.is_long is not call.is_long]

    def _is_still_wanted(self, call, now):
        """Whether a call that has waited for a process is still useful."""
        step = call.step
        is_known = self._find_step(step.key) is step
        is_open = (
            step.waiting
            or step.key in self._unticketed
            or step.key in self._lapsing_keys
        )
        may_ask = not step.is_advising and now >= step.retry_advice_at
        known = self.workers_by_id
        has_workers = any(known.get(w.worker_id) is w for w in call.workers)
        return is_known and is_open and may_ask and has_workers

    def _call_advice(self, wanted, now):
        """Assign a wanted call to a process.

        Args:
          wanted: An asking.WantedCall.
          now: A float.
        Returns:
          A bool, whether a process can make it soon.
        """
        step = wanted.step
        known = self.workers_by_id
        workers = [w for w in wanted.workers if known.get(w.worker_id) is w]
        cost_s = advising.compute_cost_s(wanted.queue.advice, workers)
        may_help = wanted.need is not asking.Need.IN_TURN
        given = self.callers.choose(cost_s, now, may_help)
        if given is None:
            return False
        self._advice_shares.charge(wanted.queue.name, cost_s)
        step.is_advising = True
        request = messages.AdviceRequest(step.key, tuple(w.worker_id for w in workers))
        caller = given.caller
        fences = tuple(worker.fence for worker in workers)
        call = CallAdvice(caller.name, caller.address, request, given.deadline, fences)
        self._open_advice_by_step[step.key] = call
        self.commands.append(call)
        return True

    def take_advice(self, request, answer, now):
        """Process the answer to a call for advice.

        Args:
          request: The messages.AdviceRequest.
          answer: A messages.AdviceAnswer, or None when the call failed.
          now: A float.
        """
        open_call = self._open_advice_by_step.get(request.step)
        if open_call is None or open_call.request != request:
            return
        del self._open_advice_by_step[request.step]
        self.callers.end_call(open_call.name, now, answer is not None)
        self.needs_pass = True
        step = self._find_step(request.step)
        if step is None:
            return
        step.is_advising = False
        if answer is None:
            step.retry_advice_at = now + ADVICE_RETRY_S
            return
        step.has_unused_advice = True
        deadline = now + answer.valid_ms / 1000
        asked_ids = self._list_unchanged_ids(open_call)
        late_call = self._late_advice_by_step.pop(request.step, None)
        if late_call is not None and late_call.request == request:
            # The answer may belong to the earlier call that timed out.
            asked_ids &= self._list_unchanged_ids(late_call)
        step.asked_ids |= asked_ids
        step.permitted_ids -= asked_ids
        for ticket in answer.good:
            if ticket.worker_id in asked_ids:
                step.permitted_ids.add(ticket.worker_id)
                step.tickets_by_worker[ticket.worker_id] = (ticket.text, deadline)
        self.needs_pass = True

    def _give_up_advice(self, now):
        """Time out calls whose answers are late; other processes retry them at once."""
        for call in list(self._open_advice_by_step.values()):
            step = self._find_step(call.request.step)
            late_at = call.deadline
            if step is not None and stalls.is_past_grace(step, 0.0, now):
                late_at += OVERDUE_SLACK_S - advising.ANSWER_SLACK_S
            if now <= late_at:
                continue
            self.take_advice(call.request, None, now)
            self.callers.suspend_caller(call.name, now)
            if step is not None:
                step.retry_advice_at = now
                self._late_advice_by_step.setdefault(step.key, call)
        self._late_advice_by_step = {
            key: call
            for key, call in self._late_advice_by_step.items()
            if self._find_step(key) is not None
        }

    def _list_unchanged_ids(self, call):
        """List the workers of a call that are still of the same incarnation.

        A new incarnation may be of another kind.

        Args:
          call: A CallAdvice.
        Returns:
          A set of str, worker ids.
        """
        known = self.workers_by_id
        return {
            worker_id
            for worker_id, fence in zip(
                call.request.worker_ids, call.fences, strict=True
            )
            if worker_id in known and known[worker_id].fence == fence
        }


def compute_lead_s(advice, workers):
    """Compute how long before room is expected a call for advice is made.

    Args:
      advice: A queue.Advice.
      workers: A list of the model.Worker that it may name.
    Returns:
      A float, seconds.
    """
    asked = workers[: advising.MAX_ASKED_WORKERS]
    return advising.compute_cost_s(advice, asked) + TICKET_LEAD_S


def count_asked(tasks):
    """Return the most workers that a short call for some tasks names, an int."""
    return min(advising.MAX_ASKED_WORKERS, ASKED_BASE + ASKED_PER_TASK * tasks)


def iterate_unasked(step, candidates):
    """Iterate over workers not named in a step's calls yet, from a start of its own.

    Without that, steps that ask at the same time would all get tickets for the same
    workers, and the first would take the room of the others.

    Args:
      step: A model.StepState.
      candidates: A placing.Candidates.
    Returns:
      An iterator of model.Worker.
    """
    workers = candidates.workers
    if not workers:
        return
    key = step.key
    drawn = xxhash.xxh3_64_intdigest(f"{key.job_id}.{key.step}".encode())
    first = (drawn + step.scan_offset) % len(workers)
    for number in range(first, first + len(workers)):
        worker = workers[number % len(workers)]
        if worker.worker_id not in step.asked_ids:
            yield worker


def take_with_room(step, workers, reserved, count):
    """Take the first workers that have room for a task of a step.

    Args:
      step: A model.StepState.
      workers: An iterator of model.Worker, consumed no further than needed.
      reserved: A reserving.Reservations.
      count: An int, the most to take.
    Returns:
      A list of model.Worker.
    """
    demand = step.spec.demand
    with_room = (
        w for w in workers if demand.fits(reserved.compute_usable_room(step, w))
    )
    return list(itertools.islice(with_room, count))


def list_with_room(step, workers, reserved):
    """List the workers that have room for a task of a step.

    Args:
      step: A model.StepState.
      workers: A list of model.Worker.
      reserved: A reserving.Reservations.
    Returns:
      A list of model.Worker.
    """
    demand = step.spec.demand
    return [w for w in workers if demand.fits(reserved.compute_usable_room(step, w))]
