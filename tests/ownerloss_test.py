"""Lasting tasks run again in time where the owner ends after their worker."""

import random
import unittest

from tests import cellworld, ownerlossplays
from thornport.jobs import spec

PATIENCE_S = 30.0
# From the kill of an owner to the takeover: heartbeats, the vote, the records.
GAP_S = 1.5
SEEDS = (100, 101, 102)
# The other one has a test of its own that fails, in `standingplays_test`.
TROUBLES = tuple(name for name in ownerlossplays.NAMES if name != "lose_start_target")


def list_late(world):
    """List the tasks that were late to run again, as readable text."""
    return [
        f"{late.key.job_id}.{late.key.index} {late.late_s:.2f} s after {late.trouble}"
        for late in world.late_by_run.values()
        if late.last_run_at is not None
    ]


class OwnerKilledAfterAWorker(unittest.TestCase):
    """A worker is lost for good, and the owner is killed a moment later."""

    # From the loss to the kill: the owner does not know of the loss, or waits for it.
    KILLED_AFTER_S = (0.1, 1.0, 2.0, 3.0)

    def find_late(self, returns_s):
        """Find the tasks that run too late.

        Args:
          returns_s: A float, from the kill until the next process at the owner's
            address answers; None for never.
        Returns:
          A dict of lists of str by the advice and by the time from loss to kill.
        """
        late_by_case = {}
        for name, advice in ownerlossplays.ADVICE_BY_NAME.items():
            for after_s in self.KILLED_AFTER_S:
                faults = cellworld.Faults(random.Random(1))
                world = ownerlossplays.OwnerLossWorld(faults, advice, False)
                step = spec.Step(6, spec.Demand(4_000, 6_000), 500, lasting=True)
                world.submit_to(world.standing, step)
                world.run(15)
                world.lose(world.list_lasting_ids()[0], is_refusing=False)
                world.run(after_s)
                world.kill_owner(GAP_S, returns_s)
                world.run(PATIENCE_S)
                late_by_case[name, after_s] = list_late(world)
        return {case: late for case, late in late_by_case.items() if late}

    # Guards against a successor that counts the longest lease from the answer of the
    # killed owner's next process, and not from when that process began.
    def test_task_is_back_in_time_where_the_owner_returns_at_once(self):
        self.assertEqual(self.find_late(returns_s=0.3), {})

    # Guards against a successor that waits for the longest lease from the return of the
    # killed owner's process, though the lease was granted seconds before.
    def test_task_is_back_in_time_where_the_owner_returns_after_seconds(self):
        self.assertEqual(self.find_late(returns_s=3.0), {})

    # Guards against a successor that waits 16.3 s for an owner which may be cut off, at
    # a worker that was lost before.
    def test_task_is_back_in_time_where_the_owner_never_returns(self):
        self.assertEqual(self.find_late(returns_s=None), {})


class OwnerLossPlays(unittest.TestCase):
    """Seeded plays of workers and owners that end at about the same time."""

    # Guards against a lasting task that stays down beside room for it.
    def test_lasting_tasks_run_again_in_time(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                world = ownerlossplays.play(seed, TROUBLES, troubles_count=3)
                self.assertEqual(list_late(world), [])


if __name__ == "__main__":
    unittest.main()
