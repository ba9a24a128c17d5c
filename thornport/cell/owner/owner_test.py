"""Tests from when on a new owner counts the leases that earlier owners granted."""

import unittest
from unittest import mock

from returns import result
from twisted.internet import defer, task

from thornport.cell.decisions import leases, messages
from thornport.cell.owner import lanes, owner, renewal
from thornport.cell.peers import lapses, peering, witnessing
from thornport.jobs import spec
from thornport.kernel import clock

TOKEN = 9
OWN_ADDRESS = "10.0.0.1:1"
KILLED_ADDRESS = "10.0.0.2:1"
OTHER_ADDRESS = "10.0.0.3:1"
NEVER_OWNED = lapses.Lapses(0, {}, 0.0)


class EarlierOwners(unittest.TestCase):
    """A new owner asks the earlier ones whether they have ceased."""

    def setUp(self):
        self.clock = task.Clock()
        self.clock.advance(100.0)
        patched = mock.patch.object(clock, "read_monotonic", self.clock.seconds)
        patched.start()
        self.addCleanup(patched.stop)
        ports = mock.Mock()
        ports.store.commit.side_effect = lambda _: defer.Deferred()
        bus = mock.Mock(address=OWN_ADDRESS)
        settings = mock.Mock()
        settings.bounds.configure_mock(status_s=120.0, limit_overshoot=0.0, stop_s=1.0)
        claimer = mock.Mock(token=TOKEN)
        self.session = owner.OwnerSession(
            self.clock,
            ports,
            bus,
            mock.Mock(),
            settings,
            claimer,
            mock.Mock(),
            NEVER_OWNED,
        )
        self.addCleanup(self.session.stop)

    def decide(self, *earlier):
        """Decide while earlier owners at some addresses have not ceased yet."""
        ledger = self.session._ledger
        ledger.earlier = earlier
        ledger.last = lanes.Head(TOKEN - 1, 1, earlier[-1])
        self.session.decide()

    def answer(self, address, ceased_at):
        """Have the process at an address report when it ceased."""
        self.session.take_ceased(address, lapses.Lapses(0, {}, ceased_at))

    def read_earlier_over_at(self):
        """Read when all that earlier owners started is over at silent workers."""
        return self.session.core._earlier_over_at

    # Guards against tasks of a lost worker that wait for longer, by the time until the
    # restarted process of a killed owner is connected and has answered.
    def test_leases_count_from_the_restart_of_a_killed_owner(self):
        self.decide(KILLED_ADDRESS)
        self.clock.advance(4.0)
        self.answer(KILLED_ADDRESS, 102.5)
        over_at = 102.5 + leases.EARLIER_LEASE_S
        self.assertAlmostEqual(self.read_earlier_over_at(), over_at)

    def test_leases_count_from_the_last_owner_to_cease(self):
        self.decide(OTHER_ADDRESS, KILLED_ADDRESS)
        self.clock.advance(4.0)
        self.answer(KILLED_ADDRESS, 103.0)
        self.assertAlmostEqual(
            self.read_earlier_over_at(), 100.0 + owner.EARLIER_OWNER_S
        )
        self.answer(OTHER_ADDRESS, 101.0)
        over_at = 103.0 + leases.EARLIER_LEASE_S
        self.assertAlmostEqual(self.read_earlier_over_at(), over_at)

    # Guards against runs that count as lost before their workers were asked for ends.
    def test_workers_have_the_longest_lease_to_answer_the_first_poll(self):
        self.decide(KILLED_ADDRESS)
        self.answer(KILLED_ADDRESS, 60.0)
        over_at = 100.0 + leases.EARLIER_LEASE_S
        self.assertAlmostEqual(self.read_earlier_over_at(), over_at)

    def test_own_earlier_ownership_needs_no_answer(self):
        self.decide(OWN_ADDRESS)
        over_at = 100.0 + leases.EARLIER_LEASE_S
        self.assertAlmostEqual(self.read_earlier_over_at(), over_at)

    def attest(self, address, ago_ms, **left_ms_by_worker):
        """Have a process attest that it follows this owner, and whom it heard last."""
        attested = peering.Attestation(
            TOKEN, 0, 0, ago_ms, TOKEN - 1, 500, left_ms_by_worker
        )
        self.session.take_attestation(address, attested)

    def decide_after_kill(self, *witnesses):
        """Decide after an owner with some witnesses, which never answers."""
        ledger = self.session._ledger
        ledger.witnesses_by_earlier = {KILLED_ADDRESS: witnesses}
        self.decide(KILLED_ADDRESS)
        ledger.last = lanes.Head(TOKEN - 1, 1, KILLED_ADDRESS, (), witnesses)

    # Guards against tasks of a lost worker that wait for 16.3 s where the owner was
    # killed and is not started again.
    def test_leases_of_an_owner_that_never_answers_are_bounded_by_its_witnesses(self):
        self.decide_after_kill("a", "b", "c")
        self.attest("a", ago_ms=400)
        self.attest("b", ago_ms=300)
        ceased_at = 99.7 + renewal.ECHOED_S
        self.clock.advance(owner.ASK_CEASED_S)
        not_yet = 100.0 + owner.EARLIER_OWNER_S
        self.assertAlmostEqual(self.read_earlier_over_at(), not_yet)
        self.clock.advance(1.0)
        over_at = ceased_at + leases.EARLIER_LEASE_S
        self.assertAlmostEqual(self.read_earlier_over_at(), over_at)
        self.assertEqual(self.session._ledger.earlier, ())

    def test_less_than_half_of_the_witnesses_prove_nothing(self):
        self.decide_after_kill("a", "b", "c")
        self.attest("a", ago_ms=400)
        self.clock.advance(2.0)
        not_yet = 100.0 + owner.EARLIER_OWNER_S
        self.assertAlmostEqual(self.read_earlier_over_at(), not_yet)

    # Guards against a lost worker that a successor waits for anew.
    def test_lease_that_the_last_owner_stated_is_not_waited_for_anew(self):
        entry = messages.WorkerEntry(
            "w0", "", "s", "h1", messages.WorkerState.READY, spec.Demand(1000, 100, 0)
        )
        worker = self.session.core._make_worker(entry)
        self.session.core.workers_by_id["w0"] = worker
        self.decide_after_kill("a", "b")
        self.attest("a", ago_ms=400, w0=2500)
        self.assertAlmostEqual(worker.unheard_until, 102.5)

    # Guards against a lost worker that a successor waits for anew, as its lease was
    # over between the last heartbeat of the killed owner and the greeting.
    def test_lease_that_is_over_at_the_takeover_is_not_waited_for_anew(self):
        self.add_running_worker("w0")
        self.decide_after_kill("a", "b")
        witness = witnessing.Witness(0.0)
        witness.take_owner(KILLED_ADDRESS, TOKEN - 1)
        alive = peering.Alive(0.0, TOKEN - 1, 500, left_ms_by_worker={"w0": 300})
        witness.hear(KILLED_ADDRESS, alive, 99.5)
        witness.take_owner(OWN_ADDRESS, TOKEN)
        attested = witness.attest(OWN_ADDRESS, 100.0)
        self.session.take_attestation("a", attested)
        self.clock.advance(2.0)
        worker = self.session.core.workers_by_id["w0"]
        self.assertLessEqual(worker.unheard_until, 100.0)

    # Guards against leases of healthy workers that lapse where no witness echoes, as
    # polls wait for longer than a confirmation counts.
    def test_lone_worker_is_renewed_while_only_the_store_confirms_the_ownership(self):
        self.session.ports.store.commit.side_effect = self.commit_slowly
        self.session.renewal.witnesses = ("a", "b", "c")
        self.session.renewal.note_persisted(self.session.renewal.make_terms(100.0))
        self.add_running_worker("w0")
        self.decide_after_kill("a", "b", "c")
        self.session.core.callers.list_staying = lambda _: [
            mock.Mock(address=address) for address in ("a", "b", "c")
        ]
        granted = 0
        for _ in range(20):
            for _ in range(14):
                self.clock.advance(0.05)
            now = self.clock.seconds()
            request = messages.HoldRequest("w0", "", TOKEN, int(now * 1000), 0, 700)
            granted += self.session.limit_lease(request, now).deadline_ms > 0
        self.assertGreaterEqual(granted, 18)
        # Transactions have a price.
        self.assertLess(self.session.ports.store.commit.call_count / 14.0, 5.0)

    # Guards against leases that lapse while the store is away during an upgrade, as
    # processes of an earlier version never echo.
    def test_processes_that_attest_nothing_are_no_witnesses(self):
        self.decide(KILLED_ADDRESS)
        self.session.renewal.witnesses = ("a", "b", "c")
        self.session.core.callers.list_staying = lambda _: [
            mock.Mock(address=address) for address in ("a", "b", "c")
        ]
        self.session.take_attestation("a", None)
        self.session.take_attestation("b", None)
        self.clock.advance(owner.TICK_S)
        self.assertEqual(self.session.renewal.witnesses, ("c",))
        self.attest("a", ago_ms=400)
        self.clock.advance(owner.TICK_S)
        self.assertEqual(self.session.renewal.witnesses, ("a", "c"))

    def commit_slowly(self, _):
        """Apply a transaction; its answer takes 20 ms."""
        answer = defer.Deferred()
        self.clock.callLater(0.02, answer.callback, result.Success(1))
        return answer

    def add_running_worker(self, worker_id):
        """Add a worker that has a run."""
        entry = messages.WorkerEntry(
            worker_id,
            "",
            "s",
            "h1",
            messages.WorkerState.READY,
            spec.Demand(1000, 100, 0),
        )
        worker = self.session.core._make_worker(entry)
        worker.runs_by_key = {"key": mock.Mock()}
        self.session.core.workers_by_id[worker_id] = worker


if __name__ == "__main__":
    unittest.main()
