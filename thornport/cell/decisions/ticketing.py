"""Calls for advice, and the tickets that they give.

Some queues run only where their advice says so. Advice is slow and priced, so it
is called for ahead of the start, and only about workers that could take tasks.
"""

import msgspec

from thornport.cell.decisions import cellstate, messages, placing

ADVICE_RETRY_S = 0.3  # after a call for advice that failed
ASKED_WORKERS = 100  # named in one call; each makes the call longer
# A ticket is there this long before its room is expected: runs end early too, and a
# ticket holds for 2 s.
TICKET_LEAD_S = 0.4


class CallAdvice(msgspec.Struct, frozen=True):
    """One of our processes is to call for advice.

    Attributes:
      deadline: A float, when the answer is given up.
    """

    name: str
    address: str
    request: messages.AdviceRequest
    deadline: float


class Ticketing(cellstate.CellState):
    """Has advice called for and takes the answers."""

    def _ask_advice(self, step, queue, allowed, reserved, now):
        """Ask about workers for a step that could start now."""
        wanted = self._list_wanted(step, allowed, now)
        # What is known to be good is worth a call only if it has room.
        hopeful = [
            worker
            for worker in allowed
            if worker.worker_id not in step.asked_ids
            or worker.worker_id in step.good_ids
        ]
        if wanted and placing.has_room(step, hopeful, reserved):
            self._call_advice(step, queue, wanted, now)

    def _ask_early(self, step, queue, allowed, starts_at, now):
        """Ask about workers for a step that can't start yet.

        Which are good never changes, and is asked at once: room is kept at those alone.
        Their tickets are renewed so that they are there when the room comes.

        Args:
          step: A model.StepState.
          queue: A queue.Queue with advice.
          allowed: A list of model.Worker.
          starts_at: A float, when it is expected to start; None if that is not known.
          now: A float.
        """
        wanted = self._list_wanted(step, allowed, now)
        if not wanted:
            return
        is_known = all(worker.worker_id in step.asked_ids for worker in wanted)
        lead_s = compute_cost_s(queue.advice, wanted) + TICKET_LEAD_S
        if is_known and (starts_at is None or starts_at - now > lead_s):
            return
        self._call_advice(step, queue, wanted, now)

    def _list_wanted(self, step, allowed, now):
        """List the workers that advice or a ticket is to be had for."""
        return [
            worker
            for worker in allowed
            if worker.worker_id not in step.asked_ids
            or (
                worker.worker_id in step.good_ids
                and not placing.has_ticket(step, worker, now)
            )
        ]

    def _call_advice(self, step, queue, wanted, now):
        if step.is_advising or now < step.retry_advice_at:
            return
        wanted = wanted[:ASKED_WORKERS]
        given = self.callers.choose(compute_cost_s(queue.advice, wanted), now)
        if given is None:
            return
        step.is_advising = True
        request = messages.AdviceRequest(step.key, tuple(w.worker_id for w in wanted))
        caller = given.caller
        call = CallAdvice(caller.name, caller.address, request, given.deadline)
        self._open_advice_by_step[step.key] = call
        self.orders.append(call)

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
        self.callers.end_call(open_call.name, now)
        self.needs_round = True
        step = self._find_step(request.step)
        if step is None:
            return
        step.is_advising = False
        if answer is None:
            step.retry_advice_at = now + ADVICE_RETRY_S
            return
        deadline = now + answer.valid_ms / 1000
        step.asked_ids.update(request.worker_ids)
        for ticket in answer.good:
            step.good_ids.add(ticket.worker_id)
            step.tickets_by_worker[ticket.worker_id] = (ticket.text, deadline)
        self.needs_round = True

    def _list_allowed(self, step, queue, now):
        return [
            worker
            for worker in self.workers_by_id.values()
            if worker.entry.service == queue.service
            and placing.is_allowed(step, worker, now)
        ]


def compute_cost_s(advice, workers):
    """Compute how long a call for advice takes.

    Args:
      advice: A queue.Advice.
      workers: A list of the workers that it is about.
    Returns:
      A float, seconds.
    """
    return (advice.base_ms + advice.worker_ms * len(workers)) / 1000
