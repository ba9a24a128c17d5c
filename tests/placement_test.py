"""Placement under failure, by real processes."""

import itertools
import unittest

from tests import harness

DECLARATIONS = """
[tiers/normal]
price = 10
[workspaces/press]
tiers = normal
[jobs]
tier = normal
workspace = press
[jobs/edition]
tasks = 6
cores = 10
run_ms = 4000
"""


class Placers(unittest.TestCase):
    """Two placers, two workers, and a job that must not run twice."""

    def setUp(self):
        self.cell = harness.Cell()
        self.addCleanup(self.cell.close)
        self.cell.start_platform()
        for name in ("worker-1", "worker-2"):
            self.cell.start_worker(name, cores=32)
        self.cell.start_placer("placer-1")
        self.cell.by_name["placer-1"].wait_for("event=begin-deciding")
        self.cell.start_placer("placer-2")
        self.cell.by_name["placer-2"].wait_for("event=ring .*members=2")
        self.cell.apply(DECLARATIONS)
        harness.wait_until(lambda: len(self.list_runs()) == 6, "all tasks running")

    def list_runs(self):
        runs = []
        for name in ("worker-1", "worker-2"):
            status = harness.call_json("GET", self.cell.url(name, "/status"))
            self.assertFalse(status["over_capacity"], name)
            runs += status["runs"]
        return runs

    def wait_finished(self, placer):
        url = self.cell.url(placer, "/v1/jobs")
        harness.wait_until(
            lambda: harness.call_json("GET", url).get("edition", {}).get("finished"),
            "job finished",
        )

    def check_never_twice(self):
        spans = {}
        for run in self.list_runs():
            ended_at = run["ended_at"] or float("inf")
            spans.setdefault(run["task_id"], []).append((run["started_at"], ended_at))
        for task_id, parts in spans.items():
            parts.sort()
            for (_, ended_at), (started_at, _) in itertools.pairwise(parts):
                self.assertLessEqual(ended_at, started_at, task_id)

    def test_placer_killed(self):
        self.cell.by_name["placer-1"].kill()
        self.cell.by_name["placer-2"].wait_for("event=begin-deciding")
        self.wait_finished("placer-2")
        self.check_never_twice()

    def test_placer_frozen_beyond_its_lease_and_thawed(self):
        frozen = self.cell.by_name["placer-1"]
        frozen.freeze()
        self.cell.by_name["placer-2"].wait_for("event=begin-deciding")
        frozen.thaw()
        frozen.wait_for("event=stop-deciding")
        self.wait_finished("placer-2")
        self.check_never_twice()

    def test_store_down_while_tasks_run(self):
        self.cell.set_faults(down=True)
        harness.wait_until(
            lambda: all(run["state"] == "finished" for run in self.list_runs()),
            "all tasks finished",
        )
        self.cell.set_faults()
        self.wait_finished("placer-1")
        self.assertEqual(len(self.list_runs()), 6)
