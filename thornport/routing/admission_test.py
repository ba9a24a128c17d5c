"""Tests of the admission queue (order, aging, shedding) and the retry budget."""

import unittest

import hypothesis
from hypothesis import strategies as st

from thornport.routing import admission, outcome, retries
from thornport.routing import request as requests


def make_request(price, deadline=9.0):
    return requests.Request(
        "r", "s", "w", "t", price, 0.0, deadline, True, "", "x", b""
    )


class Order(unittest.TestCase):
    """The order in which requests leave the queue."""

    # Examples are drawn from a digest of this function's source: renames change them.
    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(st.lists(st.integers(0, 5), max_size=60), st.integers(1, 40))
    def test_everybody_goes_or_is_given_up_on_once(self, prices, limit):
        queue = admission.Queue(limit)
        given_up = []
        for price in prices:
            _, out = queue.offer(make_request(price), 1, 0.0)
            given_up += [entry.waiting.request for entry in out]
        gone = []
        while waiting := queue.take_next():
            gone.append(waiting.request)
        self.assertEqual(len(gone), min(limit, len(prices)))
        self.assertEqual(sorted(r.price for r in gone + given_up), sorted(prices))
        kept = sorted(prices, reverse=True)[: len(gone)]
        self.assertEqual(sorted((r.price for r in gone), reverse=True), kept)

    def test_cheapest_request_is_not_starved(self):
        queue = admission.Queue(100)
        queue.offer(make_request(1), 1, 0.0)
        seen = []
        for _ in range(admission.AGING_INTERVAL):
            queue.offer(make_request(9), 1, 0.0)
            seen.append(queue.take_next().request.price)
        self.assertEqual(seen.count(1), 1)


class Shedding(unittest.TestCase):
    """Which requests are shed, when, and with what outcome."""

    def test_request_that_would_miss_its_deadline_is_shed_with_retry_delay(self):
        queue = admission.Queue(1000)
        queue.note_run(0.1)
        for _ in range(200):
            queue.offer(make_request(1, 100.0), 1, 10.0)
        waiting, out = queue.offer(make_request(1, 15.0), 1, 10.0)
        self.assertIsNone(waiting)
        self.assertEqual(out[0].given_up.outcome, outcome.Outcome.NOT_RUN)
        self.assertEqual(out[0].given_up.retry_after_s, 20)
        waiting, out = queue.offer(make_request(2, 15.0), 1, 10.0)
        self.assertIsNotNone(waiting)

    def test_requests_are_shed_at_their_deadlines(self):
        queue = admission.Queue(10)
        for deadline in (3.0, 1.0, 2.0):
            queue.offer(make_request(1, deadline), 1, 0.0)
        self.assertEqual(len(queue.give_up_late(2.0)), 2)
        self.assertEqual(len(queue), 1)

    def test_request_is_shed_when_it_can_no_longer_end_in_time(self):
        queue = admission.Queue(10)
        queue.note_run(0.5)
        waiting, _ = queue.offer(make_request(1, 2.0), 1, 0.0)
        self.assertEqual(queue.give_up_late(1.4), [])
        late = queue.give_up_late(1.5)
        self.assertEqual([entry.waiting for entry in late], [waiting])

    def test_retry_budget_bounds_retries_when_all_requests_fail(self):
        budget = retries.RetryBudget(0.1)
        made = 0
        for _ in range(1000):
            budget.earn()
            made += budget.spend()
        self.assertLessEqual(made, 100 + retries.MAX_SAVED_RETRIES)
