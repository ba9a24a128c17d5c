"""Entries and backend servers that leave or are gone, by real processes."""

import http.client
import signal

import msgspec

from tests import entrycase, harness, opencaller


class Leaving(entrycase.EntryCase):
    """Planned stops, with a list of VMs that lags for longer than the test."""

    lag_ms = 3_600_000

    def setUp(self):
        # The list must be seen once before it starts to lag for good.
        self.lag_ms = 0
        super().setUp()

    def test_backend_stops_and_cuts_nothing(self):
        load = harness.Load(self.cell, self.entries, callers=12)
        load.wait_for(100)
        leaving = self.cell.by_name["press-desk-0"]
        leaving.signal(signal.SIGTERM)
        harness.wait_until(lambda: leaving.popen.poll() is not None, "backend gone")
        load.wait_for(200)
        self.check_all_answered(load.stop())
        for entry in self.entries:
            self.cell.by_name[entry].wait_for("event=backend-leaving")

    def test_entry_stops_and_cuts_nothing(self):
        load = harness.Load(self.cell, self.entries, callers=12)
        load.wait_for(100)
        stopping = self.cell.by_name["entry-1"]
        stopping.signal(signal.SIGTERM)
        url = self.cell.url("entry-1", "/ready")
        # The balancer notices that the entry is not ready any more.
        harness.wait_until(
            lambda: harness.call("GET", url).status == 503, "entry not ready"
        )
        load.entries.remove("entry-1")
        harness.wait_until(lambda: stopping.popen.poll() is not None, "entry gone")
        self.assertEqual(stopping.popen.returncode, 0)
        load.wait_for(100)
        self.check_all_answered(load.stop())
        self.cell.wait_slots(entrycase.SLOTS * self.backends, "entry-2", "entry-3")


class OpenConnections(entrycase.EntryCase):
    """Callers use their connections to an entry that stops until these are closed.

    The entry waited until nothing was in flight, which callers on open connections put
    off for ever; then it handed over, served what still came, and ended at a set time,
    whatever was open.
    """

    run_ms = 4000  # longer than an entry hands over
    declarations = entrycase.DECLARATIONS.replace(
        "max_run_ms = 1000", "max_run_ms = 8000"
    )
    path = "/v1/requests/press-desk"
    headers = {"Thornport-Workspace": "press", "Thornport-Deadline-Ms": "20000"}

    def make_request(self):
        return "request", "entry", self.path, b"x"

    def test_callers_that_never_pause(self):
        for name in self.cell.count_runs():
            changed = msgspec.json.encode({"run_ms": 300})
            harness.call("POST", self.cell.url(name, "/set"), changed)
        stopping = self.cell.by_name["entry-1"]
        address = self.cell.http_by_name["entry-1"]
        callers = [
            opencaller.OpenCaller(address, self.make_request, self.headers)
            for _ in range(12)
        ]
        for caller in callers:
            caller.wait_for(2)
        stopping.signal(signal.SIGTERM)
        self.assertEqual(stopping.popen.wait(harness.PATIENCE_S), 0)
        for caller in callers:
            caller.stop()
        self.assertEqual([c.cut for c in callers], [[]] * len(callers))
        answered = [status for c in callers for _, status in c.answered]
        self.assertEqual(set(answered), {200})

    # Guards against a second SIGTERM that ends an entry before its answers are sent.
    def test_second_sigterm_changes_nothing(self):
        stopping = self.cell.by_name["entry-1"]
        address = self.cell.http_by_name["entry-1"]
        callers = [
            opencaller.OpenCaller(address, self.make_request, self.headers)
            for _ in range(12)
        ]
        stopping.signal(signal.SIGTERM)
        stopping.wait_for("event=stopping")
        stopping.signal(signal.SIGTERM)
        stopping.wait_for("event=stop-repeated")
        self.cell.by_name["entry-2"].wait_for("members=3(.|\n)*members=2")
        stopping.signal(signal.SIGTERM)
        self.assertEqual(stopping.popen.wait(harness.PATIENCE_S), 0)
        for caller in callers:
            caller.stop()
        self.assertEqual([c.cut for c in callers], [[]] * len(callers))
        answered = [status for c in callers for _, status in c.answered]
        self.assertEqual(set(answered), {200})

    def test_request_while_it_hands_over(self):
        stopping = self.cell.by_name["entry-1"]
        address = self.cell.http_by_name["entry-1"]
        connection = http.client.HTTPConnection(address, timeout=harness.PATIENCE_S)
        self.addCleanup(connection.close)
        connection.request("GET", "/health")
        connection.getresponse().read()
        stopping.signal(signal.SIGTERM)
        self.cell.by_name["entry-2"].wait_for("members=3(.|\n)*members=2")
        connection.request("POST", self.path, b"last", self.headers)
        answer = connection.getresponse()
        self.assertEqual((answer.status, answer.read()), (200, b"last"))
        self.assertEqual(stopping.popen.wait(harness.PATIENCE_S), 0)


class Gone(entrycase.EntryCase):
    """A backend server ends without a word, and the list of VMs goes on naming it.

    Its port refuses connections at once, so that all its slots are free.
    """

    def test_nobody_is_told_not_run(self):
        load = harness.Load(self.cell, self.entries, callers=12)
        load.wait_for(100)
        self.cell.by_name["press-desk-0"].kill()
        load.wait_for(300)
        self.check_all_answered(load.stop())

    def test_its_slots_are_used_again_when_it_is_back(self):
        gone = self.cell.by_name["press-desk-0"]
        port = self.cell.http_by_name["press-desk-0"].split(":")[1]
        load = harness.Load(self.cell, self.entries, callers=12)
        load.wait_for(100)
        gone.kill()
        load.wait_for(100)
        options = (f"port={port}", f"run_ms={self.run_ms}", f"slots={entrycase.SLOTS}")
        self.cell.start("press-desk-0", "standins.backend", *options)
        harness.wait_until(
            lambda: self.cell.count_runs()["press-desk-0"]["served"] > 0, "used again"
        )
        load.wait_for(100)
        counts = self.check_truth(load.stop())
        self.assertEqual(counts["not-run"], 0)
