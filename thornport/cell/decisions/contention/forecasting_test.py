"""A queue is forecast to be overloaded only if a new job would be of no use.

The load: urgent jobs arrive at several times the rate that the cell can serve, for
longer than their callers wait.
"""

import unittest

from tests import smallcell
from thornport.cell.decisions import core
from thornport.cell.decisions.contention import forecasting
from thornport.jobs import queue, spec, workspace

URGENT = queue.Queue("urgent", service="press", stretch=1.5, target_ms=300)
ROOM = spec.Demand(16_000, 10, 0)
WORKERS = 4
# Of four jobs a second, callers use those of the first seconds: three times 1.8 s.
LATE_S = 3 * (0.3 + 1.5) - 1.0


def make_step(count=1):
    """Make a step of tasks that fill a worker for a second."""
    return spec.Step(count, ROOM, 1000)


class Burst(unittest.TestCase):
    """A burst at a cell of four tasks at a time."""

    def setUp(self):
        self.cell = smallcell.SmallCell((URGENT,), [ROOM] * WORKERS)

    def run_for(self, seconds, jobs_a_second):
        """Let time pass while jobs arrive; return the forecasts of each moment."""
        due = 0.0
        seen = []
        for _ in range(round(seconds / smallcell.STEP_S)):
            due += jobs_a_second * smallcell.STEP_S
            while due >= 1.0:
                due -= 1.0
                job_id = f"{len(self.cell.submitted_at):05}"
                self.cell.submit(job_id, URGENT, make_step())
            self.cell.step()
            seen.append(self.cell.core.forecaster.forecasts)
        return seen

    def test_load_within_the_room_is_never_overloaded(self):
        self.assertFalse(any(self.run_for(8.0, 0.9 * WORKERS)))

    def test_burst_that_callers_can_wait_out_is_not_overloaded(self):
        # Two seconds at three times the room: the last ones are late but of use.
        seen = self.run_for(2.0, 3 * WORKERS) + self.run_for(4.0, 0.0)
        self.assertFalse(any(seen))

    def test_backlog_longer_than_callers_wait_is_overloaded(self):
        (forecast,) = self.run_for(6.0, 5 * WORKERS)[-1]
        self.assertEqual((forecast.queue, forecast.takes_owed), ("urgent", False))
        self.assertGreater(forecast.drained_ms, 1000 * LATE_S)
        self.assertGreater(forecast.waiting, 4 * WORKERS)

    def test_queue_takes_jobs_again_once_its_backlog_is_short(self):
        self.run_for(6.0, 5 * WORKERS)
        self.assertFalse(self.run_for(25.0, 0.0)[-1])

    def test_idle_workers_are_never_overloaded(self):
        # The backlog waits for something else: half of the cell is free.
        self.run_for(6.0, 5 * WORKERS)
        totals = [spec.Demand(64_000, 100, 0)] * WORKERS
        cell = smallcell.SmallCell((URGENT,), totals)
        for number in range(200):
            cell.submit(f"{number}", URGENT, make_step())
        cell.core.forecaster.note_started("urgent", make_state(), 1)
        cell.now += 1.0
        cell.core.tick(cell.now, int(cell.now * 1000))
        self.assertEqual(cell.core.forecaster.forecasts, ())

    def test_successor_forecasts_nothing_before_it_has_measured(self):
        self.run_for(6.0, 5 * WORKERS)
        self.cell.take_over()
        self.assertEqual(self.cell.core.forecaster.forecasts, ())


def make_state():
    """Make the state of a step."""
    cell = smallcell.SmallCell((URGENT,), [ROOM])
    cell.submit("x", URGENT, make_step())
    (step,) = cell.core.jobs_by_id["x"].steps_by_key.values()
    return step


class Weights(unittest.TestCase):
    """Jobs beyond the weight of their workspace find no room first."""

    def make_backlog(self, owed, beyond):
        """Make a backlog of late jobs that are owed, and of some that are not."""
        backlog = forecasting.Backlog(waiting=owed + beyond)
        backlog.owed = backlog.in_time_owed = 1000.0 * owed
        backlog.total = backlog.in_time = 1000.0 * (owed + beyond)
        backlog.spare_s = backlog.waiting * 0.5
        backlog.late_spare_s = backlog.waiting * 4.0
        return backlog

    def test_flood_of_one_workspace_leaves_the_others_their_room(self):
        backlog = self.make_backlog(owed=10, beyond=100)
        self.assertTrue(backlog.is_overloaded(10_000, is_owed=False))
        self.assertFalse(backlog.is_overloaded(10_000, is_owed=True))

    def test_flood_of_all_finds_no_room_for_anyone(self):
        backlog = self.make_backlog(owed=100, beyond=0)
        self.assertTrue(backlog.is_overloaded(10_000, is_owed=True))

    def test_workspaces_beyond_their_weight_are_named(self):
        owner = core.CellCore(1, 0.0, 0.0, 120.0)
        paying = workspace.Workspace("w", weight=1.0)
        config = queue.Config(1, (URGENT,), workspaces=workspace.Workspaces([paying]))
        owner.take_config(config, 0.0)
        for _ in range(8):
            owner._shares.charge_job("w", 1_000_000)
        self.assertEqual(owner._shares.list_beyond(1000.0), ["w"])
        self.assertEqual(owner._shares.list_beyond(1010.0), [])


if __name__ == "__main__":
    unittest.main()
