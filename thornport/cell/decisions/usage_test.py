"""Limits and weights of workspaces: what may start, and which jobs are owed."""

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
    """Workspaces with a limit of cores, a limit of memory, and none."""

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
        """Count the tasks of a step that a workspace may start."""
        return self.usage.count_startable(make_step(count, gang), name)

    def test_each_resource_limits(self):
        counts = [self.count(name) for name in ("cores", "memory", "free", "")]
        self.assertEqual(counts, [3, 2, 9, 9])

    def test_gang_starts_whole_or_not_at_all(self):
        self.assertEqual(self.count("cores", 3, gang=True), 3)
        self.assertEqual(self.count("cores", 4, gang=True), 0)

    def test_run_is_counted_once_and_removed_once(self):
        runs = [make_run(index) for index in range(3)]
        for run in (*runs, runs[0]):
            self.usage.add(run, "cores")
        self.assertEqual(self.count("cores"), 0)
        for _ in range(2):
            self.usage.remove(runs[0])
        self.assertEqual(self.count("cores"), 1)

    def test_nothing_starts_while_usage_exceeds_the_limit(self):
        for index in range(3):
            self.usage.add(make_run(index), "cores")
        low = spec.Demand(5_000, 1, 1)
        lowered = workspace.Workspaces([workspace.Workspace("cores", limit=low)])
        self.usage.set_limits(lowered, 0.0)
        self.assertEqual(self.count("cores"), 0)
        self.usage.set_limits(workspace.Workspaces([]), 0.0)
        self.assertEqual(self.count("cores"), 9)

    def test_overshoot_raises_limits_but_not_unlimited_resources(self):
        self.usage.set_limits(self.workspaces, 0.25)
        limit = self.usage.read_limit("cores")
        none = workspace.UNLIMITED
        self.assertEqual(limit, spec.Demand(16_250, none, none))
        self.assertEqual(self.count("cores"), 4)

    def test_only_a_gang_larger_than_the_limit_exceeds_it(self):
        limit = self.usage.read_limit("cores")
        self.assertTrue(usage.exceeds_limit(make_step(4, gang=True), limit))
        self.assertFalse(usage.exceeds_limit(make_step(4), limit))
        self.assertFalse(usage.exceeds_limit(make_step(400, gang=True), None))


class Shares(unittest.TestCase):
    """Which jobs are owed to a workspace with a weight."""

    def setUp(self):
        self.shares = shares.Shares()
        weighted = workspace.Workspace("w", weight=2.0)
        self.shares.set_weights(workspace.Workspaces([weighted]))

    def count_owed(self, a_second, seconds, from_ms=0):
        """Count the owed jobs of those that arrive evenly for some seconds."""
        count = int(a_second * seconds)
        return sum(
            self.shares.charge_job("w", from_ms + int(number * 1000 / a_second))
            for number in range(count)
        )

    def test_all_jobs_within_the_weight_are_owed(self):
        self.assertEqual(self.count_owed(2.0, 60), 120)

    def test_burst_within_the_weight_over_the_window_is_owed(self):
        bunch = int(2.0 * shares.WINDOW_S)
        self.assertEqual(self.count_owed(100.0, bunch / 100), bunch)

    def test_jobs_up_to_the_weight_stay_owed_under_overload(self):
        """At 15 jobs a second, seven times the weight, two a second stay owed."""
        owed = self.count_owed(15.0, 60)
        allowed = 2.0 * (60 + shares.WINDOW_S)
        self.assertAlmostEqual(owed, allowed, delta=3)
        self.assertEqual(self.count_owed(2.0, 10, from_ms=70_000), 20)

    def test_all_jobs_without_a_workspace_or_weight_are_owed(self):
        for name in ("", "other"):
            self.assertTrue(all(self.shares.charge_job(name, 0) for _ in range(99)))

    def test_acceptance_times_may_go_backwards(self):
        times = [1000, 900, 3000, 1000, 2500]
        self.assertTrue(all(self.shares.charge_job("w", at) for at in times))


if __name__ == "__main__":
    unittest.main()
