"""Tests of the pace of filling work beside serving tasks, by the tails of these."""

import itertools
import unittest

from thornport.cell.decisions.contention import sharing

TARGET_MS = 200
CALM = [sharing.Tail(TARGET_MS, 80)]
NEAR = [sharing.Tail(TARGET_MS, 170)]
BETWEEN = [sharing.Tail(TARGET_MS, 130)]
UNKNOWN = [sharing.Tail(TARGET_MS, None)]
POLL_S = 0.5


def poll(pace, tails, seconds, now=0.0, is_settled=True):
    """Poll a worker with the same tails for a while; return its last Pace."""
    for number in range(int(seconds / POLL_S)):
        pace = sharing.adapt(pace, tails, is_settled, now + number * POLL_S)
    return pace


class Adapts(unittest.TestCase):
    """The pace of one worker."""

    def test_worker_that_does_not_share_has_the_full_pace(self):
        self.assertIsNone(sharing.adapt(None, [], True, 0.0))
        self.assertIsNone(sharing.adapt(sharing.Pace(30, 0.0), [], True, 0.0))
        self.assertEqual(sharing.read_percent(None), 100)

    def test_filling_is_paused_as_sharing_begins(self):
        self.assertEqual(sharing.adapt(None, CALM, True, 5.0).percent, 0)
        self.assertEqual(sharing.pause(5.0).percent, 0)

    def test_pace_rises_in_steps_up_to_the_full_one(self):
        paces = []
        pace = sharing.pause(0.0)
        for number in range(80):
            pace = sharing.adapt(pace, CALM, True, number * POLL_S)
            paces.append(pace.percent)
        steps = {late - early for early, late in itertools.pairwise(paces)}
        self.assertEqual(steps, {0, sharing.RISE_PERCENT})
        self.assertEqual(paces[-1], 100)

    def test_pace_falls_at_once_by_any_tail_that_is_near_its_target(self):
        risen = sharing.Pace(60, 10.0)
        for tails in (NEAR, UNKNOWN, CALM + NEAR, CALM + UNKNOWN):
            self.assertEqual(sharing.adapt(risen, tails, True, 5.0).percent, 0)

    def test_pace_stays_while_a_tail_is_neither_calm_nor_near(self):
        risen = sharing.Pace(60, 10.0)
        self.assertEqual(poll(risen, CALM + BETWEEN, 60.0, now=20.0), risen)

    def test_pace_does_not_rise_before_workers_have_taken_the_last_one(self):
        paused = sharing.pause(0.0)
        self.assertEqual(poll(paused, CALM, 60.0, is_settled=False), paused)

    def test_unknown_tail_never_raises_the_pace(self):
        self.assertEqual(poll(None, UNKNOWN, 60.0).percent, 0)

    # Guards against filling that brings serving over its target again every few
    # seconds, as each pause is as short as the first.
    def test_pauses_lengthen(self):
        now, pace, pauses = 0.0, sharing.pause(0.0), []
        for _ in range(8):
            began_at = now
            while pace.percent == 0:
                now += POLL_S
                pace = sharing.adapt(pace, CALM, True, now)
            pauses.append(now - began_at)
            pace = sharing.adapt(pace, NEAR, True, now)
        self.assertEqual(pauses, [2.0, 5.0, 10.0, 20.0, 40.0, 80.0, 80.0, 80.0])


if __name__ == "__main__":
    unittest.main()
