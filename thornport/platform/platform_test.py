"""Encoding and decoding of each message of the platform, with a fake transport."""

import base64
import unittest

import msgspec
from hypothesis import given
from hypothesis import strategies as st
from returns import result

from thornport.cell.decisions import leases, messages
from thornport.cell.owner import ownership
from thornport.jobs import spec, workspace
from thornport.kernel import httpcalls
from thornport.platform import advice, config, jobs, store, workers
from thornport.store import port, transactions

STEP = messages.StepKey("5c0e7a21d94b36f8", 0, 1)
TASK = messages.TaskKey("5c0e7a21d94b36f8", 0, 1, 17)


def answer(status, body):
    """Make the answer to a call."""
    return httpcalls.Answer(status, msgspec.json.encode(body))


class FakeCalls:
    """Answers every call with the same outcome and records the requests."""

    def __init__(self, outcome):
        self.outcome = outcome
        self.asked = []

    async def call(
        self,
        address,
        method,
        path,
        body=b"",
        timeouts=None,
        headers=(),
        on_bytes=None,
        on_late=None,
    ):
        """Record the call and answer it."""
        self.timeouts = timeouts
        self.asked.append((method, path, body, dict(headers)))
        return self.outcome

    def trust(self, address, established):
        """Do nothing: there are no connections."""

    def identify(self, address):
        """Do nothing: there are no connections."""

    def is_identified(self, address):
        """No server is known yet."""
        return False

    def count_established(self):
        """Count the connections that were ever established: none."""
        return 0


class FakeMetrics:
    """Discards all counts."""

    def count(self, name, step=1):
        """Discard a count."""


def run(coroutine):
    """Run a coroutine that never suspends."""
    try:
        coroutine.send(None)
    except StopIteration as done:
        return done.value
    raise AssertionError("the call waits")


class Jobs(unittest.TestCase):
    """Jobs as callers encode them."""

    def test_fields_are_decoded(self):
        body = {
            "spec": "text",
            "repeats": 3,
            "start_at_ms": 1_700_000_000_000,
            "interval_ms": 500,
            "steps": [
                {"count": 4, "cpu": 500, "mem_mb": 256, "gpu": 1, "gang": True},
                {
                    "count": 2,
                    "after": [0],
                    "est_runtime_ms": 900,
                    "checkpointing": True,
                    "same_rack": True,
                    "constraints": "b",
                    "affinity": "r1-3",
                    "anti_affinity": 2,
                    "speculative": True,
                    "long_running": True,
                    "image": "web",
                    "target_ms": 40,
                    "fills": True,
                    "may_miss": 0,
                },
            ],
        }
        job = jobs.decode_job(msgspec.json.encode(body))
        self.assertEqual(job.steps[0].demand, spec.Demand(500, 256, 1))
        self.assertTrue(job.steps[0].gang)
        wanted = spec.Step(
            count=2,
            demand=spec.Demand(),
            estimate_ms=900,
            after=(0,),
            checkpoints=True,
            same_rack=True,
            label="b",
            near_rack="r1-3",
            max_per_worker=2,
            copies_allowed=True,
            lasting=True,
            image="web",
            tail_target_ms=40,
            fills=True,
            may_miss=0,
        )
        self.assertEqual(job.steps[1], wanted)
        self.assertEqual((job.repeats, job.interval_ms), (3, 500))
        self.assertEqual(job.first_at_ms, 1_700_000_000_000)

    def test_errors_name_the_faulty_field(self):
        for body, place in (
            (b"{", "truncated"),
            (b'{"spec":"x","steps":[]}', "steps"),
            (b'{"spec":"x","steps":[{"count":"two"}]}', "$.steps[0].count"),
            (b'{"spec":"x","steps":[{"count":1,"after":[0]}]}', "steps[0].after"),
            (b'{"spec":"x","steps":[{"count":0}]}', "steps[0].count"),
            (b'{"spec":"x","steps":[{"cpu":-1}]}', "$.steps[0].cpu"),
        ):
            with self.assertRaises(spec.SpecError) as raised:
                jobs.decode_job(body)
            self.assertIn(place, str(raised.exception))

    @given(st.binary(max_size=200))
    def test_any_bytes_decode_or_raise_spec_error(self, body):
        try:
            jobs.decode_job(body)
        except spec.SpecError:
            return


class Tenants(unittest.TestCase):
    """Workspaces, which the operator writes as tenants."""

    def decode(self, *tenants):
        """Decode a configuration with some tenants."""
        return config.decode_config(
            msgspec.json.encode({"version": 3, "tenants": list(tenants)})
        )

    def make(self, **changes):
        """Make a tenant."""
        limit = {"cpu": 16_000, "mem_mb": 0, "gpu": 2}
        usual = {"name": "press", "api_keys": ["k"], "weight": 28, "max_items": limit}
        return usual | changes

    def test_fields_are_decoded(self):
        found = self.decode(self.make()).workspaces.find_by_key(b"k")
        limit = spec.Demand(16_000, workspace.UNLIMITED, 2)
        self.assertEqual(found, workspace.Workspace("press", ("k",), 28.0, limit))

    def test_configuration_without_tenants_has_no_workspaces(self):
        self.assertIsNone(config.decode_config(b'{"version":1}').workspaces)
        self.assertIsNotNone(self.decode().workspaces)

    def test_invalid_tenant_admits_nobody_and_leaves_the_rest_in_force(self):
        low = {"cpu": -1, "mem_mb": 0, "gpu": 0}
        for bad in (
            self.make(name=""),
            self.make(name=7),
            self.make(max_items=low),
            self.make(max_items={"cpu": 1}),
            self.make(weight="many"),
            self.make(weight=-1),
            self.make(api_keys=[""]),
            self.make(api_keys=["k", 5]),
            "press",
            None,
            {"name": "press", "api_keys": ["k"]},
        ):
            good = self.make(name="photo", api_keys=["other"])
            found = self.decode(bad, good).workspaces
            self.assertIsNone(found.find_by_key(b"k"), bad)
            self.assertEqual(found.find_by_key(b"other").name, "photo")
            self.assertEqual([one.place for one in found.bad], ["tenants[0]"])

    @given(st.lists(st.binary(max_size=40), max_size=3))
    def test_any_bytes_decode_or_are_listed_as_bad(self, raws):
        found = config.decode_workspaces([msgspec.Raw(raw) for raw in raws])
        self.assertEqual(len(found.bad) + len(found.by_name), len(raws))


class RepeatedCalls(unittest.TestCase):
    """Calls that must be repeated in time, even if an answer arrives slowly.

    A poll renews leases of MAX_LEASE_MS, and the next poll starts only after it ends;
    likewise the renewal of the owner's lease.
    """

    def test_each_call_times_out_in_time_for_another(self):
        calls = FakeCalls(result.Failure(httpcalls.NoAnswer("cut")))
        client = workers.WorkerClient(calls, 0.2)
        run(client.hold(messages.HoldRequest("i-1", "10.0.0.9:80", 7, 0, 0, 700)))
        self.assertLess(calls.timeouts.whole_s, leases.MAX_LEASE_MS / 2 / 1000)
        run(client.stop(messages.StopOrder("i-1", "10.0.0.9:80", TASK, 2, 7)))
        self.assertEqual(calls.timeouts.whole_s, 0.2)
        client = store.StoreClient(calls, "10.0.0.7:80", 0.5, FakeMetrics())
        run(client.renew_lease(77))
        self.assertLess(calls.timeouts.whole_s, ownership.LEASE_TTL_MS / 1000)
        client = advice.AdviceClient(calls, "10.0.0.1:9")
        run(client.advise(messages.AdviceRequest(STEP, ("i-1",)), 1.0))
        self.assertEqual(calls.timeouts.whole_s, 1.0)


class Store(unittest.TestCase):
    """The store's calls."""

    def ask(self, outcome, call):
        """Make a call with a given answer; returns its outcome and the request."""
        calls = FakeCalls(outcome)
        client = store.StoreClient(calls, "10.0.0.7:80", 0.5, FakeMetrics())
        return run(call(client)), calls.asked[0]

    def test_transaction(self):
        transaction = transactions.Transaction(
            [transactions.Condition("k", 0)], [transactions.Put("k", b"v", 9)], ["old"]
        )
        written, asked = self.ask(
            result.Success(answer(200, {"rev": 412})), lambda c: c.commit(transaction)
        )
        self.assertEqual(written.unwrap(), 412)
        wanted = {
            "expected_rev": [{"key": "k", "rev": 0}],
            "put": [{"key": "k", "value": "dg==", "lease": 9}],
            "remove": ["old"],
        }
        self.assertEqual(msgspec.json.decode(asked[2]), wanted)

    def test_failed_condition_returns_the_items(self):
        items = [{"key": "k", "value": "dg==", "rev": 3, "made": 3, "lease": 0}]
        refused, _ = self.ask(
            result.Success(answer(412, {"items": items})),
            lambda c: c.commit(transactions.Transaction()),
        )
        wanted = {"k": transactions.Item("k", b"v", 3)}
        self.assertEqual(refused.failure().by_key, wanted)

    def test_unanswered_write_is_ambiguous_and_unanswered_read_is_not(self):
        lost = result.Failure(httpcalls.NoAnswer("cut"))
        written, _ = self.ask(lost, lambda c: c.commit(transactions.Transaction()))
        self.assertIsInstance(written.failure(), port.Ambiguous)
        read, _ = self.ask(lost, lambda c: c.read_key("k"))
        self.assertIsInstance(read.failure(), port.Unavailable)

    def test_refused_writes_are_not_ambiguous(self):
        for status in (429, 503):
            written, _ = self.ask(
                result.Success(answer(status, {})),
                lambda c: c.commit(transactions.Transaction()),
            )
            self.assertIsInstance(written.failure(), port.Unavailable)

    def test_watch(self):
        value = base64.b64encode(b"node-1").decode()
        events = [
            {"key": "a", "value": value, "rev": 412, "made": 412, "lease": 7},
            {"key": "b", "rev": 413, "gone": True},
        ]
        body = {"events": events, "at": 413}
        seen, asked = self.ask(
            result.Success(answer(200, body)), lambda c: c.watch("p/", 411, 500)
        )
        wanted = [
            transactions.Change("a", b"node-1", 412),
            transactions.Change("b", None, 413),
        ]
        self.assertEqual(seen.unwrap(), transactions.Changes(wanted, 413))
        self.assertEqual(asked[1], "/-/kv-watch?path_prefix=p%2F&after=411&wait_ms=500")
        gone, _ = self.ask(
            result.Success(answer(410, {})), lambda c: c.watch("p/", 1, 500)
        )
        self.assertIsInstance(gone.failure(), transactions.HistoryGone)

    def test_watch_allows_a_long_wait_but_only_short_pauses(self):
        calls = FakeCalls(result.Failure(httpcalls.NoAnswer("cut")))
        client = store.StoreClient(calls, "10.0.0.7:80", 0.5, FakeMetrics())
        run(client.watch("p/", 411, 2000))
        self.assertEqual(calls.timeouts.begin_s, 2.0 + store.WATCH_SLACK_S)
        self.assertEqual((calls.timeouts.pause_s, calls.timeouts.whole_s), (0.5, 30.0))
        self.assertLess(store.WATCH_SLACK_S, 1.0)  # a silent store is noticed

    def test_renewing_an_ended_lease_fails(self):
        over, asked = self.ask(
            result.Success(answer(404, {})), lambda c: c.renew_lease(77)
        )
        self.assertIsInstance(over.failure(), transactions.LeaseGone)
        self.assertEqual(asked[:2], ("POST", "/-/kv-keep/77"))


class AdviceAndConfig(unittest.TestCase):
    """Advice answers and the configuration."""

    def test_advice(self):
        body = {"good": [["i-1", "c81e"]], "valid_ms": 3000}
        calls = FakeCalls(result.Success(answer(200, body)))
        client = advice.AdviceClient(calls, "10.0.0.1:9")
        request = messages.AdviceRequest(STEP, ("i-1", "i-2"))
        advised = run(client.advise(request, 1.0)).unwrap()
        good = (messages.Ticket("i-1", "c81e"),)
        self.assertEqual(advised, messages.AdviceAnswer(good, 3000))
        wanted = {"step": "5c0e7a21d94b36f8.0.1", "workers": ["i-1", "i-2"]}
        self.assertEqual(msgspec.json.decode(calls.asked[0][2]), wanted)

    # Guards against calls for advice that raise and so are never answered to the owner.
    def test_odd_answer_to_a_call_for_advice_is_a_failure(self):
        for body in (
            b'{"good":[],"valid_ms":1,"more":' + b"[" * 100_000,
            b'{"good":[],"valid_ms":1' + b"0" * 400 + b"}",
            b'{"good":[],"valid_ms":18446744073709551616}',
            b'{"good":["i-1","valid_ms":1}',
            b"\xff",
        ):
            calls = FakeCalls(result.Success(httpcalls.Answer(200, body)))
            client = advice.AdviceClient(calls, "10.0.0.1:9")
            request = messages.AdviceRequest(STEP, ("i-1",))
            with self.subTest(body=body[:40]):
                advised = run(client.advise(request, 1.0))
                self.assertIn("bad answer", advised.failure())

    def test_config(self):
        wire = {
            "version": 7,
            "routes": [
                {
                    "name": "r-1",
                    "host": "a.example",
                    "path_prefix": "/p/",
                    "kind": "non_idempotent",
                    "timeout_ms": 3000,
                    "target_latency_ms": 1000,
                    "priority": 1,
                    "service": "s",
                    "max_attempts": 3,
                    "stretch": 2.2,
                    "advice": {"decide_ms": 8.0, "each_ms": 0.5, "valid_ms": 1500},
                }
            ],
            "services": [{"name": "s", "rejects_overload": True}],
            "limits": {"max_body_bytes": 1000},
        }
        decoded = config.decode_config(msgspec.json.encode(wire))
        queue = decoded.queues[0]
        self.assertEqual((queue.name, queue.service), ("r-1", "s"))
        self.assertEqual((queue.max_attempts, queue.target_ms), (3, 1000))
        self.assertEqual(queue.advice.worker_ms, 0.5)
        self.assertEqual(decoded.guarded_services, {"s"})
        self.assertEqual((decoded.version, decoded.max_body_bytes), (7, 1000))


if __name__ == "__main__":
    unittest.main()
