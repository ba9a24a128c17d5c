"""Priced admission queue: ordering, aging and load shedding.

Requests are dispatched by descending price. To prevent starvation, every tenth
dispatch takes the request that has waited longest. A request that is not expected
to end before its deadline is shed as soon as that is known, with a retry delay. A
full queue sheds its cheapest request in favour of one with a higher price.

A request is shed by its expected end, not its start: one that starts too late
occupies its slot after its caller has gone, and once all slots are occupied like
this no request is answered in time.

This module does no I/O: it takes requests and times and returns requests and
outcomes.
"""

import math

import msgspec
import sortedcontainers

from thornport.routing import outcome
from thornport.routing import request as requests

AGING_INTERVAL = 10
RUN_TIME_WEIGHT = 0.05
DEVIATIONS = 2.0
MIN_RETRY_AFTER_S = 1
MAX_RETRY_AFTER_S = 60


class Waiting(msgspec.Struct, eq=False):
    """A queued request.

    Attributes:
      give_up_at: A float, the latest start from which the request is expected to end
        by its deadline.
      order: A pair that sorts by descending price, then by arrival.
    """

    request: requests.Request
    give_up_at: float
    order: tuple[int, int]


class ShedRequest(msgspec.Struct, frozen=True):
    """A request that is rejected, or removed from the queue, without being run."""

    waiting: Waiting
    given_up: outcome.GivenUp


class Queue:
    """The admission queue of one service at one entry."""

    def __init__(self, limit):
        """Start empty.

        Args:
          limit: An int, the maximum number of queued requests.
        """
        self.limit = limit
        self._last_number = 0
        self._dispatches = 0
        self._by_order = sortedcontainers.SortedDict()
        self._by_age = sortedcontainers.SortedDict()
        self._by_give_up = sortedcontainers.SortedDict()
        self._waiting_by_price = {}
        self._mean_run_s = 0.0
        self._run_deviation_s = 0.0

    def __len__(self):
        return len(self._by_order)

    def count_by_price(self):
        """Count the queued requests by price.

        Returns:
          A dict from price to a count.
        """
        return {price: n for price, n in self._waiting_by_price.items() if n}

    def note_run(self, run_s):
        """Update the run time estimate with the run time of an answered request.

        Args:
          run_s: A float, seconds.
        """
        if not self._mean_run_s:
            self._mean_run_s = run_s
        error_s = run_s - self._mean_run_s
        self._mean_run_s += RUN_TIME_WEIGHT * error_s
        self._run_deviation_s += RUN_TIME_WEIGHT * (
            abs(error_s) - self._run_deviation_s
        )

    @property
    def long_run_s(self):
        """A run time in seconds that few runs exceed; 0 before the first run."""
        return self._mean_run_s + DEVIATIONS * self._run_deviation_s

    def estimate_wait_s(self, price, slots):
        """Estimate how long a new request would wait.

        Args:
          price: An int.
          slots: An int, how many requests this entry may run at once.
        Returns:
          A float in seconds; 0 if no run time is known yet or there are no slots.
        """
        if not slots:
            return 0.0
        ahead = sum(n for p, n in self._waiting_by_price.items() if p >= price)
        return ahead * self._mean_run_s / slots

    def offer(self, request, slots, now):
        """Queue a request, or shed it or a cheaper one.

        Args:
          request: A requests.Request.
          slots: An int, how many requests this entry may run at once.
          now: A float.
        Returns:
          A pair of the Waiting, or None if the request is shed, and a list of
          ShedRequest, which includes the new request if it is shed.
        """
        self._last_number += 1
        give_up_at = request.deadline - self.long_run_s
        waiting = Waiting(request, give_up_at, (-request.price, self._last_number))
        wait_s = self.estimate_wait_s(request.price, slots)
        if now + wait_s > give_up_at:
            given_up = self._make_given_up(outcome.Reason.DEADLINE, wait_s)
            return None, [ShedRequest(waiting, given_up)]
        if len(self) < self.limit:
            self._insert(waiting)
            return waiting, []
        _, cheapest = self._by_order.peekitem(-1)
        if cheapest.request.price >= request.price:
            reason = outcome.Reason.QUEUE_FULL
            given_up = self._make_given_up(reason, wait_s)
            return None, [ShedRequest(waiting, given_up)]
        self.remove(cheapest)
        self._insert(waiting)
        reason = outcome.Reason.OUTBID
        wait_s = self.estimate_wait_s(cheapest.request.price, slots)
        given_up = self._make_given_up(reason, wait_s)
        return waiting, [ShedRequest(cheapest, given_up)]

    def _insert(self, waiting):
        price, number = -waiting.order[0], waiting.order[1]
        self._by_order[waiting.order] = waiting
        self._by_age[number] = waiting
        self._by_give_up[waiting.give_up_at, number] = waiting
        self._waiting_by_price[price] = self._waiting_by_price.get(price, 0) + 1

    def remove(self, waiting):
        """Remove a request from the queue.

        Args:
          waiting: A Waiting.
        Returns:
          A bool, False if it was no longer in the queue.
        """
        if self._by_order.pop(waiting.order, None) is None:
            return False
        price, number = -waiting.order[0], waiting.order[1]
        del self._by_age[number]
        del self._by_give_up[waiting.give_up_at, number]
        self._waiting_by_price[price] -= 1
        return True

    def take_next(self):
        """Remove and return the next request to dispatch.

        Returns:
          A Waiting, or None if the queue is empty.
        """
        if not self._by_order:
            return None
        self._dispatches += 1
        if self._dispatches % AGING_INTERVAL == 0:
            waiting = self._by_age.peekitem(0)[1]
        else:
            waiting = self._by_order.peekitem(0)[1]
        self.remove(waiting)
        return waiting

    def give_up_late(self, now):
        """Remove the requests that can no longer start in time.

        Args:
          now: A float.
        Returns:
          A list of ShedRequest.
        """
        late = []
        while self._by_give_up and self._by_give_up.peekitem(0)[0][0] <= now:
            waiting = self._by_give_up.peekitem(0)[1]
            self.remove(waiting)
            given_up = self._make_given_up(outcome.Reason.DEADLINE, 0.0)
            late.append(ShedRequest(waiting, given_up))
        return late

    def give_up_all(self, reason):
        """Remove all requests.

        Args:
          reason: An outcome.Reason.
        Returns:
          A list of ShedRequest.
        """
        all_waiting = list(self._by_order.values())
        for waiting in all_waiting:
            self.remove(waiting)
        given_up = outcome.not_run(reason, retry_after_s=MIN_RETRY_AFTER_S)
        return [ShedRequest(waiting, given_up) for waiting in all_waiting]

    def _make_given_up(self, reason, wait_s):
        retry_after_s = min(
            max(math.ceil(wait_s), MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S
        )
        detail = f"{len(self)} of {self.limit} wait"
        return outcome.not_run(reason, detail, retry_after_s)
