"""The whole path: a request answered and a job finished, by real processes."""

import unittest

from bench import demo
from tests import harness, schedulers


class WholePath(unittest.TestCase):
    """The thin path, from one end to the other."""

    def test_request_and_job(self):
        cell = harness.Cell()
        self.addCleanup(cell.close)
        demo.show(cell)

    def test_job_on_the_users_platform(self):
        cell = schedulers.Schedulers(2)
        self.addCleanup(cell.close)
        demo.show_jobs(cell)
