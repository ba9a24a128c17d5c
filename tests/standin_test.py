"""The stand-in platform keeps the rules that processes count on."""

import base64
import concurrent.futures
import contextlib
import time
import unittest

import msgspec
import urllib3

from tests import harness
from thornport.platform import entries, workermessages, workers

SILENT_S = 0.5
AWAY_MS = 2000  # of a worker: several calls time out meanwhile
WORKER = "i-0000"  # the id of the platform's first worker
UPTIME_MS = 60_000
SLOW_MS = 400
PAUSE_S = 0.15  # between writes: some come while an answer is held


class SlowWatch(unittest.TestCase):
    """A store that is slow answers a watch.

    It told the events of one moment and the revision of a later one, so what was
    written between was never told: jobs that were kept stood still in the soak.
    """

    def setUp(self):
        self.cell = harness.Cell()
        self.addCleanup(self.cell.close)
        self.cell.start("platform", "standins.platform", "workers=1")

    def put(self, name):
        """Write a key as the operator does."""
        url = self.cell.url("platform", f"/operator/watched/{name}")
        harness.call("PUT", url, base64.b64encode(name.encode()))

    def watch(self, after):
        """Ask for what changed; the answer."""
        query = f"/-/kv-watch?path_prefix=watched/&after={after}&wait_ms=5000"
        return harness.call_json("GET", self.cell.url("platform", query))

    def test_every_write_is_told_once(self):
        names = [f"k{number}" for number in range(12)]
        self.put("first")
        after = self.watch(0)["at"]
        url = self.cell.url("platform", "/faults")
        harness.call("POST", url, b'{"slow_ms": %d}' % SLOW_MS)
        told = []
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            asked = pool.submit(self.watch, after)
            for name in names:
                self.put(name)
                time.sleep(PAUSE_S)
                if asked.done():
                    told += asked.result()["events"]
                    asked = pool.submit(self.watch, asked.result()["at"])
            while len(told) < len(names):
                answer = asked.result()
                self.assertTrue(answer["events"], f"{len(told)} of {len(names)} told")
                told += answer["events"]
                asked = pool.submit(self.watch, answer["at"])
            self.put("last")
        keys = [event["key"] for event in told]
        self.assertEqual(keys, [f"watched/{name}" for name in names])


class SilentAdvice(unittest.TestCase):
    """Of so many calls for advice one has no answer."""

    def test_every_second_call_has_no_answer(self):
        cell = harness.Cell()
        self.addCleanup(cell.close)
        platform = cell.start("platform", "standins.platform", "advice_silent_every=2")
        address = platform.wait_for(r"event=advice http=(\S+)")[1]
        url = f"http://{address}/-/advise"
        body = b'{"step": "a", "workers": ["i-0000"]}'
        for _ in range(2):
            self.assertEqual(harness.call("POST", url, body).status, 200)
            with self.assertRaises(urllib3.exceptions.TimeoutError):
                harness.call("POST", url, body, timeout_s=SILENT_S)


class Incarnations(unittest.TestCase):
    """Workers that end, are back under their ids, or are cut off."""

    def setUp(self):
        self.cell = harness.Cell()
        self.addCleanup(self.cell.close)
        uptime = f"uptime_ms={UPTIME_MS}"
        self.cell.start("platform", "standins.platform", "workers=1", uptime)
        query = f"/-/kv-key?key={entries.ENTRY_PREFIX}{WORKER}"
        item = harness.call_json("GET", self.cell.url("platform", query))
        address = msgspec.json.decode(base64.b64decode(item["value"]))["address"]
        self.url = f"http://{address}/-/hold"

    def poll(self, token=1, wait_ms=0, timeout_s=10.0):
        """Poll the worker; returns the urllib3 answer."""
        wire = workermessages.WireHold(token, 0, 10 * UPTIME_MS, wait_ms)
        headers = {workers.EXPECT_HEADER: WORKER}
        body = msgspec.json.encode(wire)
        return harness.call("POST", self.url, body, headers, timeout_s)

    def read_clock_ms(self):
        """Read the clock of the worker, an int."""
        return msgspec.json.decode(self.poll().data)["clock_ms"]

    def post(self, path):
        """Tell the platform what happens to the worker."""
        harness.call("POST", self.cell.url("platform", path))

    def wait_answer(self):
        """Wait until the worker answers."""

        def look():
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                return self.poll(timeout_s=SILENT_S)

        harness.wait_until(look, "an answer")

    # Guards against a new clock that goes on from the old one, which hides deadlines of
    # a former incarnation.
    def test_clock_begins_anew_after_a_silence(self):
        self.assertGreaterEqual(self.read_clock_ms(), UPTIME_MS)
        self.post(f"/restart?keeps_id=1&dark_ms={AWAY_MS}&worker={WORKER}")
        with self.assertRaises(urllib3.exceptions.TimeoutError):
            self.poll(timeout_s=SILENT_S)
        self.wait_answer()
        self.assertLess(self.read_clock_ms(), UPTIME_MS)

    # Guards against a poll that an incarnation answers after its end.
    def test_poll_that_waits_is_not_answered_once_its_worker_has_crashed(self):
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            polled = pool.submit(self.poll, wait_ms=300, timeout_s=1.0)
            time.sleep(0.1)
            self.post("/crash")
            with self.assertRaises(urllib3.exceptions.TimeoutError):
                polled.result()

    # Guards against a worker that answers, or does as told, while it is cut off.
    def test_worker_that_is_cut_off_takes_no_call(self):
        self.post(f"/cut?worker={WORKER}&for_ms={AWAY_MS}")
        with self.assertRaises(urllib3.exceptions.TimeoutError):
            self.poll(token=2, timeout_s=SILENT_S)
        self.wait_answer()
        # The poll with the higher token was not carried out.
        self.assertEqual(self.poll(token=1).status, 200)
        self.assertGreaterEqual(self.read_clock_ms(), UPTIME_MS)


if __name__ == "__main__":
    unittest.main()
