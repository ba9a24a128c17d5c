"""Tests of the records of jobs beside other versions of the software."""

import unittest

import msgspec

from thornport.jobs import record


class EarlierLiveRun(msgspec.Struct, frozen=True, array_like=True):
    """A record.LiveRun as versions before late starts write and read it."""

    index: int
    run: int
    worker_id: str
    address: str = ""
    worker_started_at_ms: int | None = None


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


if __name__ == "__main__":
    unittest.main()
