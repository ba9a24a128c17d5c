"""Tests of the view of a placer's jobs."""

import unittest
from unittest import mock

from thornport.placement import model, views


class ViewJobs(unittest.TestCase):
    """A finished job without known tasks, and a job with a placed task."""

    def test_finished_and_placed_jobs_are_shown_by_name(self):
        state = mock.Mock(finished_jobs={"old"}, tasks_by_id={})
        task = mock.Mock(job_name="new", task_id="new.0", attempts=2)
        task.state = model.TaskState.PLACED
        state.tasks_by_id["new.0"] = task
        shown = views.view_jobs(state)
        self.assertEqual(shown["old"], views.JobView(True, {}))
        placed = views.TaskView(model.TaskState.PLACED.value, 2)
        self.assertEqual(shown["new"], views.JobView(False, {"new.0": placed}))


if __name__ == "__main__":
    unittest.main()
