"""Jobs that find no room are refused at once; a doubtful forecast refuses none.

The load: some workspaces send many times what they pay for, and a queue gets more jobs
than its workers finish while callers still wait.
"""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from thornport.jobs import admission, queue, record, spec

QUEUE = queue.Queue("press")
OTHER = queue.Queue("other")
NOW = 50.0
DRAINED_S = 4.0


def make_record(job_id="a", of="", job_queue=QUEUE, **step):
    """Make the record of a job."""
    job = spec.Job("t", (spec.Step(1, spec.Demand(1, 1, 0), 100, **step),))
    return record.JobRecord(job_id, job_queue, job, 0, workspace=of)


def make_admission(takes_owed=False, beyond=(), at=NOW):
    """Make the Admission of a process that heard a forecast."""
    admits = admission.Admission()
    overload = admission.Overload("press", at + DRAINED_S, 40, takes_owed, beyond)
    admits.take([overload], 7, at)
    return admits


class Refusals(unittest.TestCase):
    """Which jobs are refused."""

    def test_job_of_an_overloaded_queue_is_refused_with_its_grounds(self):
        refusal = make_admission().find_refusal(make_record(), NOW + 0.1)
        self.assertEqual((refusal.version, refusal.waiting), (7, 40))
        self.assertAlmostEqual(refusal.age_s, 0.1)

    def test_job_of_another_queue_is_admitted(self):
        other = make_record(job_queue=OTHER)
        self.assertIsNone(make_admission().find_refusal(other, NOW))

    def test_workspace_beyond_its_weight_is_refused_first(self):
        admits = make_admission(takes_owed=True, beyond=("greedy",))
        self.assertIsNotNone(admits.find_refusal(make_record(of="greedy"), NOW))
        self.assertIsNone(admits.find_refusal(make_record(of="modest"), NOW))

    def test_lasting_and_repeated_jobs_are_admitted(self):
        lasting = make_record(lasting=True)
        self.assertIsNone(make_admission().find_refusal(lasting, NOW))

    def test_forecast_replaces_the_one_before(self):
        admits = make_admission()
        admits.take([], 8, NOW + 0.2)
        self.assertIsNone(admits.find_refusal(make_record(), NOW + 0.3))


class Failures(unittest.TestCase):
    """A partition, a lost owner and a slow one refuse nobody."""

    def test_process_without_a_forecast_admits(self):
        admits = admission.Admission()
        self.assertIsNone(admits.find_refusal(make_record(), NOW))

    def test_forecast_of_an_owner_that_is_not_heard_any_more_admits(self):
        admits = make_admission()
        late = NOW + admission.MAX_AGE_S + 0.01
        self.assertIsNone(admits.find_refusal(make_record(), late))

    def test_nothing_is_refused_once_the_backlog_must_be_drained(self):
        admits = admission.Admission()
        admits.take([admission.Overload("press", NOW + 0.3, 9, False)], 1, NOW)
        self.assertIsNotNone(admits.find_refusal(make_record(), NOW + 0.2))
        self.assertIsNone(admits.find_refusal(make_record(), NOW + 0.3))


class Returns(unittest.TestCase):
    """When callers may return."""

    @given(st.text(min_size=1), st.floats(0.01, 1e6))
    def test_nobody_returns_before_the_backlog_is_drained(self, job_id, left_s):
        retry_s = admission.compute_retry_s(job_id, left_s)
        self.assertGreaterEqual(retry_s, min(left_s, admission.MAX_RETRY_S))
        self.assertLessEqual(retry_s, admission.MAX_RETRY_S)

    def test_callers_do_not_return_together(self):
        times = [admission.compute_retry_s(f"{n:016x}", 5.0) for n in range(1000)]
        for second in range(5, 10):
            self.assertLess(times.count(second), 300)

    def test_caller_refused_later_returns_later(self):
        first = admission.compute_retry_s("same", 3.0)
        self.assertLess(first, admission.compute_retry_s("same", 9.0))


if __name__ == "__main__":
    unittest.main()
