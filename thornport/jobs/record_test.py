"""Tests of the records of jobs beside other versions of the software."""

import unittest

import msgspec
from hypothesis import given, settings

from tests import oddvalues
from thornport.jobs import queue, record, spec, workspace


class EarlierLiveRun(msgspec.Struct, frozen=True, array_like=True):
    """A record.LiveRun as versions before late starts write and read it."""

    index: int
    run: int
    worker_id: str
    address: str = ""
    worker_started_at_ms: int | None = None


class EarlierJobRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """A record.JobRecord as versions before early cancels read it."""

    job_id: str
    queue: queue.Queue
    job: spec.Job
    accepted_at_ms: int
    end_state: record.JobState | None = None
    cause: record.FailureCause | None = None
    workspace: str = ""


class EarlierProgress(msgspec.Struct, frozen=True, omit_defaults=True):
    """A record.Progress as versions before `has_run` write and read it."""

    state: record.JobState
    steps: tuple[record.StepProgress, ...] = ()
    times_done: int = 0
    cause: record.FailureCause | None = None


class OtherVersions(unittest.TestCase):
    """Records that a process of another version reads."""

    def test_earlier_version_reads_the_run(self):
        run = record.LiveRun(1, 2, "w", "h:1", 5, True, True, True)
        value = msgspec.msgpack.encode(run)
        read = msgspec.msgpack.decode(value, type=EarlierLiveRun)
        self.assertEqual(read, EarlierLiveRun(1, 2, "w", "h:1", 5))

    def test_run_of_an_earlier_version_has_its_defaults(self):
        value = msgspec.msgpack.encode(EarlierLiveRun(1, 2, "w", "h:1", 5))
        read = msgspec.msgpack.decode(value, type=record.LiveRun)
        self.assertEqual(read, record.LiveRun(1, 2, "w", "h:1", 5))
        self.assertFalse(read.has_begun or read.has_more_copies or read.is_over)

    # Guards against an owner of an earlier version that starts a job cancelled early.
    def test_earlier_version_reads_an_early_cancel_as_a_cancelled_job(self):
        callers = (workspace.Caller("press"), workspace.Caller("photo"))
        value = record.encode_record(record.make_early_cancel("a", callers))
        read = msgspec.msgpack.decode(value, type=EarlierJobRecord)
        self.assertIs(read.end_state, record.JobState.CANCELLED)
        self.assertEqual((read.job_id, read.workspace), ("a", "press"))

    # Guards against an earlier owner that can't read records, and one whose records are
    # read as those of jobs that have not begun.
    def test_progress_beside_an_earlier_version(self):
        step = record.StepProgress(0, 0, 1)
        saved = record.Progress(record.JobState.RUNNING, (step,), has_run=False)
        read = msgspec.msgpack.decode(record.encode_record(saved), type=EarlierProgress)
        self.assertEqual(read, EarlierProgress(record.JobState.RUNNING, (step,)))
        written_again = record.decode_progress(msgspec.msgpack.encode(read))
        self.assertTrue(written_again.is_known_to_have_run())

    def test_record_of_an_earlier_version_is_no_early_cancel(self):
        earlier = EarlierJobRecord(
            "a", queue.Queue("press"), spec.Job(), 0, record.JobState.CANCELLED
        )
        read = record.decode_job(msgspec.msgpack.encode(earlier))
        self.assertFalse(read.is_early_cancel())


PROGRESS = record.Progress(
    record.JobState.RUNNING,
    (
        record.StepProgress(
            0,
            0,
            2,
            False,
            (1,),
            ((0, 1),),
            (record.LiveRun(2, 1, "w", "10.0.0.1:80", 5),),
            ((0, "cp"),),
            ((0, 2),),
            ((0, 1),),
            (record.UnprovenLoss(0, "w", "10.0.0.1:80"),),
        ),
    ),
    has_run=True,
)
JOB = record.JobRecord(
    "a",
    queue.Queue("urgent", advice=queue.Advice(1.0, 1.0, 5)),
    spec.Job("text", (spec.Step(3, spec.Demand(1, 1, 1)),), 2, 5, 6),
    1_700_000_000_000,
)

EARLY_CANCEL = record.make_early_cancel("a", (workspace.Caller("press"),))


class OddRecords(unittest.TestCase):
    """Values that are no records raise RecordError and nothing else."""

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(oddvalues.packed(msgspec.to_builtins(EARLY_CANCEL)))
    def test_any_value_is_an_early_cancel_or_an_error(self, value):
        self.check(record.decode_job, value)

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(oddvalues.packed(msgspec.to_builtins(JOB)))
    def test_any_value_is_a_job_or_an_error(self, value):
        self.check(record.decode_job, value)

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(oddvalues.packed(msgspec.to_builtins(PROGRESS)))
    def test_any_value_is_the_progress_of_a_job_or_an_error(self, value):
        self.check(record.decode_progress, value)

    # Guards against one value that ends the reading of all records.
    def test_deep_nesting_and_odd_texts_are_errors(self):
        nested = b"\x81\xa1x" + oddvalues.PACKED_NESTED
        for value in (nested, oddvalues.PACKED_NESTED, b"\x81\xa6job_id\xa1\xff"):
            for decode in (record.decode_job, record.decode_progress):
                with self.assertRaises(record.RecordError):
                    decode(value)

    def check(self, decode, value):
        """Check that a value is decoded as a record that can be encoded, or refused."""
        try:
            decoded = decode(value)
        except record.RecordError:
            return
        self.assertEqual(decode(record.encode_record(decoded)), decoded)


if __name__ == "__main__":
    unittest.main()
