"""What a workspace may start, by what it has running."""

import unittest

from thornport.cell.decisions import messages, model, shares, usage
from thornport.jobs import spec, workspace

TASK = spec.Demand(4_000, 1_000, 0)


def make_run(index):
    """Make a run of a task."""
    key = messages.TaskKey("j", 0, 0, index)
    return model.Run(key, 1, "w", spec.Step(9, TASK), model.RunState.RECORDING)


def make_step(count, gang=False):
    """Make a step whose tasks all wait."""
    step = spec.Step(count, TASK, gang=gang)
    key = messages.StepKey("j", 0, 0)
    return model.StepState(key, step, waiting=set(range(count)))


class Limits(unittest.TestCase):
    """A workspace with a limit of cores, and one of memory."""

    def setUp(self):
        none = workspace.UNLIMITED
        self.workspaces = workspace.Workspaces(
            [
                workspace.Workspace("cores", limit=spec.Demand(13_000, none, none)),
                workspace.Workspace("memory", limit=spec.Demand(none, 2_500, none)),
                workspace.Workspace("free"),
            ]
        )
        self.usage = usage.Usage()
        self.usage.set_limits(self.workspaces, 0.0)

    def count(self, name, count=9, gang=False):
        """How many tasks of a step a workspace may start."""
        return self.usage.count_startable(make_step(count, gang), name)

    def test_each_resource_limits(self):
        counts = [self.count(name) for name in ("cores", "memory", "free", "")]
        self.assertEqual(counts, [3, 2, 9, 9])

    def test_gang_starts_whole_or_not(self):
        self.assertEqual(self.count("cores", 3, gang=True), 3)
        self.assertEqual(self.count("cores", 4, gang=True), 0)

    def test_run_counts_until_it_is_over_and_is_taken_out_once(self):
        runs = [make_run(index) for index in range(3)]
        for run in (*runs, runs[0]):
            self.usage.add(run, "cores")
        self.assertEqual(self.count("cores"), 0)
        for _ in range(2):
            self.usage.remove(runs[0])
        self.assertEqual(self.count("cores"), 1)

    def test_limit_below_what_runs_lets_nothing_start(self):
        for index in range(3):
            self.usage.add(make_run(index), "cores")
        low = spec.Demand(5_000, 1, 1)
        lowered = workspace.Workspaces([workspace.Workspace("cores", limit=low)])
        self.usage.set_limits(lowered, 0.0)
        self.assertEqual(self.count("cores"), 0)
        self.usage.set_limits(workspace.Workspaces([]), 0.0)
        self.assertEqual(self.count("cores"), 9)

    def test_overshoot_widens_a_limit_and_not_what_has_none(self):
        self.usage.set_limits(self.workspaces, 0.25)
        limit = self.usage.read_limit("cores")
        none = workspace.UNLIMITED
        self.assertEqual(limit, spec.Demand(16_250, none, none))
        self.assertEqual(self.count("cores"), 4)

    def test_step_that_can_never_start_is_told_from_one_that_waits(self):
        limit = self.usage.read_limit("cores")
        self.assertTrue(usage.is_too_wide(make_step(4, gang=True), limit))
        self.assertFalse(usage.is_too_wide(make_step(4), limit))
        self.assertFalse(usage.is_too_wide(make_step(400, gang=True), None))


class Shares(unittest.TestCase):
    """Jobs beyond a workspace's weight."""

    def setUp(self):
        self.shares = shares.Shares()
        weighted = workspace.Workspace("w", weight=2.0)
        self.shares.set_weights(workspace.Workspaces([weighted]))

    def count_owed(self, a_second, seconds, from_ms=0):
        """How many jobs are owed of those that come evenly for some seconds."""
        count = int(a_second * seconds)
        return sum(
            self.shares.charge_job("w", from_ms + int(number * 1000 / a_second))
            for number in range(count)
        )

    def test_all_within_the_weight_is_owed(self):
        self.assertEqual(self.count_owed(2.0, 60), 120)

    def test_bunch_is_owed_that_is_within_the_weight_over_the_window(self):
        bunch = int(2.0 * shares.WINDOW_S)
        self.assertEqual(self.count_owed(100.0, bunch / 100), bunch)

    def test_weight_goes_on_to_be_owed_of_what_is_far_more(self):
        """Of 15 jobs a second, seven times the weight, two a second stay owed."""
        owed = self.count_owed(15.0, 60)
        allowed = 2.0 * (60 + shares.WINDOW_S)
        self.assertAlmostEqual(owed, allowed, delta=3)
        self.assertEqual(self.count_owed(2.0, 10, from_ms=70_000), 20)

    def test_nobody_and_who_has_no_weight_owe_nothing_to_anybody(self):
        for name in ("", "other"):
            self.assertTrue(all(self.shares.charge_job(name, 0) for _ in range(99)))

    def test_times_of_acceptance_need_not_rise(self):
        times = [1000, 900, 3000, 1000, 2500]
        self.assertTrue(all(self.shares.charge_job("w", at) for at in times))


if __name__ == "__main__":
    unittest.main()
