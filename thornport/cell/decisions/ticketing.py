"""Calls for advice, and the tickets that they give.

Some queues run only where their advice says so. Advice is slow and priced, so it
is called for ahead of the start, and only about workers that could take tasks.
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
from thornport.kernel import clock

ADVICE_RETRY_S = 0.3  # after a call for advice that failed
# Beyond the time that a call takes, where its step has stood still for long: a busy
# process answers late, and a call that is given up is made anew.
OVERDUE_SLACK_S = 0.3
# Named in a short call, by the tasks that wait: a quarter of the workers may be good
# for a step, and others take room meanwhile. To name a hundred for each urgent job of
# three tasks made an answer of 4 KB, most of it never used.
ASKED_PER_TASK = 4
ASKED_BASE = 8
# Looked at for a step's room in one round at the most, well above a hundred to be asked
# about. To look at all of 1,000 workers for each step took twice the processor at 330
# jobs a second, and a round lasted for up to half a second, in which an owner sends no
# heartbeat and is replaced. All of 270 workers are within it.
MAX_SCANNED_WORKERS = 400
# Enough are known to be good once they would hold a step so many times, empty.
GOOD_MULTIPLE = 3
# A ticket is there this long before its room is expected: runs end early too, and a
# ticket holds for 2 s.
TICKET_LEAD_S = 0.4


class CallAdvice(msgspec.Struct, frozen=True):
    """One of our processes is to call for advice.

    Attributes:
      deadline: A float, when the answer is given up.
      fences: Ints, of the lives of the workers that it names, in order; the answer is
        of those alone.
    """

    name: str
    address: str
    request: messages.AdviceRequest
    deadline: float
    fences: tuple[int, ...]


class Ticketing(listing.Listing):
    """Has advice called for and takes the answers."""

    def _ask_advice(self, step, queue, candidates, reserved, need, now):
        """Ask about workers for a step that could start now, first those with room.

        Of a long call the first part is the longest, so it may as well tell of more.

        Args:
          step: A model.StepState.
          queue: A queue.Queue with advice.
          candidates: A placing.Candidates.
          reserved: A reserving.Reservations.
          need: An asking.Need.
          now: A float.
        """
        ticketed = eligibility.list_ticketed(step, candidates, now)
        lapsed = self._list_ticketless(step, candidates, now)
        is_long = queue.advice.base_ms / clock.MS_PER_S >= advising.LONG_CALL_S
        count = advising.MAX_ASKED_WORKERS if is_long else count_asked(step)
        roomy = list_with_room(step, lapsed, reserved)
        tasks = len(step.waiting)
        if not placing.has_room(step, [*ticketed, *roomy], reserved, tasks):
            # Those that are known to be good are full: of the others some may be good.
            unknown = itertools.islice(
                iterate_unasked(step, candidates), MAX_SCANNED_WORKERS
            )
            found = take_with_room(step, unknown, reserved, count)
            if not found:
                # Few may be large enough for it: the next round goes on from here.
                step.walked += MAX_SCANNED_WORKERS
            roomy += found
        if not roomy or not placing.has_room(step, [*ticketed, *roomy], reserved):
            return
        roomy_ids = {worker.worker_id for worker in roomy}
        others = lapsed
        if len(roomy) < count and not self._knows_enough(step, candidates):
            unknown = iterate_unasked(step, candidates)
            others = lapsed + list(itertools.islice(unknown, count))
        others = [w for w in others if w.worker_id not in roomy_ids]
        self._want_advice(step, queue, [*roomy, *others][:count], need)

    def _ask_early(self, step, queue, candidates, starts_at, now):
        """Ask about workers for a step that can't start yet.

        Which are good never changes, and is asked at once: room is kept at those alone.
        Their tickets are renewed so that they are there when the room comes. In a cell
        of hundreds of workers it is not asked of all: one call about a hundred takes as
        long as its tickets hold, and steps waited 20 s for the others.

        Args:
          step: A model.StepState.
          queue: A queue.Queue with advice.
          candidates: A placing.Candidates.
          starts_at: A float, when it is expected to start; None if that is not known.
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
        lapsed = self._list_ticketless(step, candidates, now)
        lead_s = advising.compute_cost_s(queue.advice, lapsed) + TICKET_LEAD_S
        if lapsed and starts_at is not None and starts_at - now <= lead_s:
            self._want_advice(step, queue, lapsed, asking.Need.IN_TURN)

    def _renew_recording_tickets(self, now):
        """Ask for the tickets that starts wait for whose records are kept.

        Only their own workers are named, and before the step's other tasks ask: they
        hold room already.
        """
        for key, runs in self._unticketed.items():
            step = self._find_step(key)
            if step is None or not self._may_ask(step, now):
                continue
            recording = model.RunState.RECORDING
            worker_ids = {run.worker_id for run in runs if run.state is recording}
            if not worker_ids:
                continue
            # More than a call may name take turns.
            lapsed_first = sorted(sorted(worker_ids), key=step.read_ticket_deadline)
            workers = [self.workers_by_id[worker_id] for worker_id in lapsed_first]
            queue = self._queue_of(self.jobs_by_id[key.job_id])
            self._want_advice(step, queue, workers, asking.Need.NOW)

    def _may_ask(self, step, now):
        """Whether no call for a step is open or wanted, nor failed a moment ago."""
        is_asked = step.is_advising or self._wanted_calls.has_step(step.key)
        return not is_asked and now >= step.retry_advice_at

    def _knows_enough(self, step, candidates):
        """Whether no further workers need be asked about before they have room."""
        good = eligibility.list_good(step, candidates)
        wanted = GOOD_MULTIPLE * step.spec.count
        return placing.count_places(step, good, GOOD_MULTIPLE) >= wanted

    def _list_ticketless(self, step, candidates, now):
        """List the workers that are good for a step but need a ticket anew."""
        good = eligibility.list_good(step, candidates)
        return [
            worker for worker in good if not eligibility.has_ticket(step, worker, now)
        ]

    def _find_need(self, queue, is_overdue):
        """Find the asking.Need of a call for a step that has room."""
        is_full = self._find_listed(queue.service).used_share >= stalls.FULL_SHARE
        return asking.find_need(queue, is_overdue, is_full)

    def _want_advice(self, step, queue, workers, need):
        """Have advice called for as soon as a process is free."""
        job = self.jobs_by_id.get(step.key.job_id)
        job = job or self._incoming_by_id[step.key.job_id]
        workers = workers[: advising.MAX_ASKED_WORKERS]
        is_long = advising.compute_cost_s(queue.advice, workers) >= advising.LONG_CALL_S
        self._wanted_calls.add(
            asking.WantedCall(step, queue, workers, need, self._rank_job(job), is_long)
        )

    def _rank_job(self, job):
        """Rank a job: the steps of the lowest are placed first."""
        return self._queue_of(job).priority, not job.is_owed, job.order

    def _make_wanted_calls(self, now, only_urgent=False):
        """Make the wanted calls for which there are processes, the neediest first.

        Args:
          now: A float.
          only_urgent: Whether to leave out queues that are not of the first priority.
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
                # Others that take as long find no process either.
                calls = [one for one in calls if one.is_long is not call.is_long]

    def _is_still_wanted(self, call, now):
        """Whether a call that has waited for a process would still bring anything."""
        step = call.step
        is_known = self._find_step(step.key) is step
        is_open = step.waiting or step.key in self._unticketed
        may_ask = not step.is_advising and now >= step.retry_advice_at
        known = self.workers_by_id
        has_workers = any(known.get(w.worker_id) is w for w in call.workers)
        return is_known and is_open and may_ask and has_workers

    def _call_advice(self, wanted, now):
        """Have a process make a call.

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
        self.orders.append(call)
        return True

    def take_advice(self, request, answer, now):
        """Take the answer to a call for advice.

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
        step.is_answered = True
        deadline = now + answer.valid_ms / 1000
        asked_ids = self._list_unchanged_ids(open_call)
        late_call = self._late_advice_by_step.pop(request.step, None)
        if late_call is not None and late_call.request == request:
            # It may be the answer to that call.
            asked_ids &= self._list_unchanged_ids(late_call)
        step.asked_ids |= asked_ids
        step.good_ids -= asked_ids
        for ticket in answer.good:
            if ticket.worker_id in asked_ids:
                step.good_ids.add(ticket.worker_id)
                step.tickets_by_worker[ticket.worker_id] = (ticket.text, deadline)
        self.needs_pass = True

    def _give_up_advice(self, now):
        """Give up the calls whose answers are late; others make them anew at once."""
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
        """List the workers of a call that live on: another life may be of another kind.

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


def count_asked(step):
    """Count the workers that a short call for a step names at most, an int."""
    return min(
        advising.MAX_ASKED_WORKERS, ASKED_BASE + ASKED_PER_TASK * len(step.waiting)
    )


def iterate_unasked(step, candidates):
    """Walk the workers that advice was not asked about, in an order of a step's own.

    Steps that are asked for at the same time would else all get tickets for the same
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
    first = (drawn + step.walked) % len(workers)
    for number in range(first, first + len(workers)):
        worker = workers[number % len(workers)]
        if worker.worker_id not in step.asked_ids:
            yield worker


def take_with_room(step, workers, reserved, count):
    """Take the first workers that have room for a task of a step.

    Args:
      step: A model.StepState.
      workers: An iterator of model.Worker, walked no further than needed.
      reserved: A reserving.Reservations.
      count: An int, the most that are wanted.
    Returns:
      A list of model.Worker.
    """
    demand = step.spec.demand
    roomy = (w for w in workers if demand.fits(reserved.compute_usable_room(step, w)))
    return list(itertools.islice(roomy, count))


def list_with_room(step, workers, reserved):
    """List the workers that have room for a task of a step.

    Args:
      step: A model.StepState.
      workers: A list of model.Worker.
      reserved: A reserving.Reservations.
    Returns:
      A list of them.
    """
    demand = step.spec.demand
    return [w for w in workers if demand.fits(reserved.compute_usable_room(step, w))]
