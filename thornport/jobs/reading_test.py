"""States and counts of jobs read from the store without the owner."""

import unittest

from returns import result

from thornport.jobs import queue, reading, record, spec, workspace
from thornport.kernel import tasks
from thornport.store import transactions

QUEUE = queue.Queue("press", "h", "/p/", "press-desk")


class FakeStore:
    """An in-memory store of items by key."""

    def __init__(self):
        self.by_key = {}

    def put(self, key, value):
        """Store a record under a key."""
        self.by_key[key] = transactions.Item(key, record.encode_record(value), 1)

    async def read_key(self, key):
        """Read a key."""
        absent = transactions.Item(key, b"", transactions.ABSENT_REVISION)
        return result.Success(self.by_key.get(key, absent))

    async def read_page(self, prefix, after_key="", on_bytes=None):
        """Read all keys with a prefix."""
        items = [item for key, item in self.by_key.items() if key.startswith(prefix)]
        return result.Success(transactions.Page(items, False, 1))


class Reading(unittest.TestCase):
    """Reads of jobs that are queued, running, over, unknown or undecodable."""

    def setUp(self):
        self.store = FakeStore()
        step = spec.Step(1, spec.Demand(1000, 10, 0))
        for job_id in ("waits", "runs", "over"):
            job_record = record.JobRecord(job_id, QUEUE, spec.Job("text", (step,)), 0)
            if job_id == "over":
                job_record = record.close_job(job_record, record.JobState.FAILED)
            self.store.put(record.JOB_PREFIX + job_id, job_record)
        running = record.Progress(record.JobState.RUNNING)
        self.store.put(record.PROGRESS_PREFIX + "runs", running)

    def read(self, coroutine):
        """Run a coroutine and return the value of its Success."""
        results = []
        tasks.spawn(coroutine, "read").addCallback(results.append)
        return results[0].unwrap()

    def test_state_of_each_job_is_read(self):
        states = {
            job_id: self.read(reading.read_state(self.store, job_id))
            for job_id in ("waits", "runs", "over", "unknown")
        }
        expected = {
            "waits": record.JobState.QUEUED,
            "runs": record.JobState.RUNNING,
            "over": record.JobState.FAILED,
            "unknown": None,
        }
        self.assertEqual(states, expected)

    # Guards against a job that nobody submitted and that is shown as cancelled.
    def test_early_cancel_is_no_job(self):
        for caller in (workspace.OPERATOR, workspace.Caller("press")):
            early = record.make_early_cancel("early", (caller,))
            self.store.put(record.JOB_PREFIX + "early", early)
            read = reading.read_state(self.store, "early", caller)
            self.assertIsNone(self.read(read))
        self.assertEqual(self.read(reading.count_waiting(self.store, "press")), 1)

    def test_undecodable_value_is_a_failure(self):
        for prefix in (record.JOB_PREFIX, record.PROGRESS_PREFIX):
            self.store.by_key = {
                prefix + "bad": transactions.Item(prefix + "bad", b"x", 1)
            }
            results = []
            read = reading.read_state(self.store, "bad")
            tasks.spawn(read, "read").addCallback(results.append)
            self.assertIsInstance(results[0], result.Failure)

    def test_only_waiting_jobs_are_counted(self):
        self.assertEqual(self.read(reading.count_waiting(self.store, "press")), 1)

    # Guards against a job that counts as begun while the owner can't be asked, though
    # its starts were refused.
    def test_job_of_which_no_run_has_begun_is_counted(self):
        refused = record.Progress(
            record.JobState.RUNNING, (record.StepProgress(0, 0, 3),), has_run=False
        )
        self.store.put(record.PROGRESS_PREFIX + "waits", refused)
        self.assertEqual(self.read(reading.count_waiting(self.store, "press")), 1)

    def test_job_that_may_have_begun_is_not_counted(self):
        live = record.StepProgress(0, 0, 1, live=(record.LiveRun(0, 1, "w"),))
        step = record.StepProgress(0, 0, 3)
        for saved in (
            record.Progress(record.JobState.RUNNING, (step,), has_run=True),
            record.Progress(record.JobState.RUNNING, (live,), has_run=False),
            # Records of earlier versions.
            record.Progress(record.JobState.RUNNING, (step,)),
            record.Progress(record.JobState.RUNNING),
        ):
            with self.subTest(saved=saved):
                self.store.put(record.PROGRESS_PREFIX + "waits", saved)
                counted = self.read(reading.count_waiting(self.store, "press"))
                self.assertEqual(counted, 0)

    def test_undecodable_progress_counts_as_begun(self):
        key = record.PROGRESS_PREFIX + "waits"
        self.store.by_key[key] = transactions.Item(key, b"x", 1)
        self.assertEqual(self.read(reading.count_waiting(self.store, "press")), 0)


if __name__ == "__main__":
    unittest.main()
