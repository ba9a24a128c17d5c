"""Bodies of jobs by odd callers."""

import unittest

from hypothesis import given, settings

from tests import oddvalues
from thornport.jobs import queue, record, spec, workspace
from thornport.platform import jobs

BODY = {
    "spec": "text",
    "repeats": 3,
    "start_at_ms": 1_700_000_000_000,
    "interval_ms": 500,
    "steps": [
        {"count": 4, "cpu": 500, "mem_mb": 256, "gpu": 1, "gang": True},
        {"count": 2, "after": [0], "est_runtime_ms": 900, "may_miss": 0},
    ],
}


class OddBodies(unittest.TestCase):
    """Any body is a job that can be persisted, or a SpecError, which means 400."""

    @settings(max_examples=250, derandomize=True, deadline=None)
    @given(oddvalues.bodies(BODY))
    def test_any_body_is_a_job_that_can_be_persisted_or_an_error(self, body):
        try:
            job = jobs.decode_job(body)
        except spec.SpecError:
            return
        of_queue = queue.Queue("press", stretch=2.5, target_ms=100)
        made = record.make_record("a", of_queue, job, workspace.OPERATOR)
        self.assertGreaterEqual(made.compute_objective_ms(), 0)
        self.assertEqual(record.decode_job(record.encode_record(made)), made)

    # Guards against an unhandled error where the job is persisted.
    def test_times_out_of_range_are_errors(self):
        for field in ("start_at_ms", "interval_ms"):
            for number in (2**64, 10**400, -(10**400), 2**53 + 1):
                with self.subTest(field=field, number=number):
                    body = oddvalues.encode(BODY | {field: number})
                    with self.assertRaises(spec.SpecError):
                        jobs.decode_job(body)

    def test_bodies_that_nest_too_deeply_are_errors(self):
        for odd in ({"more": oddvalues.NESTED}, {"steps": oddvalues.NESTED}):
            with self.assertRaises(spec.SpecError):
                jobs.decode_job(oddvalues.encode(BODY | odd))


if __name__ == "__main__":
    unittest.main()
