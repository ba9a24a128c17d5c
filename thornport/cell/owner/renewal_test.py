"""Tests when an owner may renew leases, and what a successor learns of that."""

import random
import unittest

from thornport.cell.decisions import messages
from thornport.cell.owner import lanes, predecessors, renewal
from thornport.cell.peers import peering, witnessing

PEERS = ("a", "b", "c", "d", "e")
LONG_AGO = 0.0
WORKER = "w0"
NOW = 100.0


class RenewalCase(unittest.TestCase):
    """An owner with five witnesses, whom its record names."""

    def setUp(self):
        self.renewal = renewal.Renewal(PEERS)
        self.renewal.note_persisted(self.renewal.make_terms(LONG_AGO))

    def echo(self, count, sent_at=NOW, now=NOW):
        """Have so many witnesses echo a heartbeat."""
        for address in PEERS[:count]:
            self.renewal.take_echo(address, renewal.to_ms(sent_at), now)

    def may_renew(self, now, confirmed_at=LONG_AGO):
        """Whether the lease of a worker may be renewed."""
        return self.renewal.may_renew(WORKER, confirmed_at, now)


class Authority(RenewalCase):
    """Tests the echoes and confirmations that allow an owner to renew leases."""

    def test_echoes_of_most_witnesses_allow_renewals_for_a_while(self):
        self.echo(3)
        self.assertTrue(self.may_renew(NOW + renewal.ECHOED_S))
        self.assertFalse(self.may_renew(NOW + renewal.ECHOED_S + 0.01))

    def test_echoes_of_half_do_not(self):
        self.echo(2)
        self.assertFalse(self.may_renew(NOW))

    def test_echo_counts_from_when_the_heartbeat_was_sent(self):
        self.echo(5, sent_at=NOW - 5.0)
        self.assertFalse(self.may_renew(NOW))

    def test_confirmation_by_the_store_allows_renewals_for_a_while(self):
        self.assertTrue(self.may_renew(NOW, NOW - renewal.CONFIRMED_S))
        self.assertFalse(self.may_renew(NOW, NOW - renewal.CONFIRMED_S - 0.01))

    def test_owner_without_witnesses_renews_leases(self):
        alone = renewal.Renewal(())
        alone.note_persisted(alone.make_terms(NOW))
        self.assertTrue(alone.may_renew(WORKER, LONG_AGO, NOW))

    # Guards against a record that names other witnesses than those that echo.
    def test_most_of_both_are_needed_while_the_record_may_name_either(self):
        self.renewal.witnesses = ("x", "y", "z")
        terms = self.renewal.make_terms(NOW)
        self.echo(5)
        self.assertFalse(self.may_renew(NOW))
        for address in ("x", "y"):
            self.renewal.take_echo(address, renewal.to_ms(NOW), NOW)
        self.assertTrue(self.may_renew(NOW))
        self.renewal.note_persisted(terms)
        self.assertTrue(self.may_renew(NOW))

    def test_deadline_that_was_sent_before_may_be_sent_again(self):
        def limit(deadline_ms, now, token=1):
            request = messages.HoldRequest(WORKER, "", token, deadline_ms, 0, 0)
            return self.renewal.limit_deadline_ms(request, LONG_AGO, now)

        self.echo(5)
        self.assertEqual(limit(6000, NOW), 6000)
        self.assertEqual(limit(7000, NOW + 2), 6000)
        self.assertEqual(limit(5000, NOW + 2), 5000)
        # The clock of another incarnation begins anew.
        self.assertEqual(limit(7000, NOW + 2, token=2), 0)


class Statements(RenewalCase):
    """Tests leases that are stated to be over at a time."""

    def state(self, now, *worker_ids):
        """Send a heartbeat that states leases; return the milliseconds left."""
        return self.renewal.state_silent(dict.fromkeys(worker_ids, NOW + 6), now)

    def test_stated_lease_is_not_renewed(self):
        self.echo(5)
        self.assertEqual(self.state(NOW, WORKER), {WORKER: 6000})
        self.assertFalse(self.may_renew(NOW, NOW))

    def test_lease_is_renewed_once_most_witnesses_know_the_withdrawal(self):
        self.state(NOW, WORKER)
        self.state(NOW + 0.1)
        self.assertTrue(self.renewal.wants_echo(NOW + 0.1))
        self.echo(5, NOW, NOW + 0.2)
        self.assertFalse(self.may_renew(NOW + 0.2))
        self.echo(3, NOW + 0.1, NOW + 0.3)
        self.assertTrue(self.may_renew(NOW + 0.3))
        self.assertFalse(self.renewal.wants_echo(NOW + 0.3))

    # Guards against witnesses that greet a busy owner at each of its heartbeats.
    def test_echoes_are_asked_for_a_few_times_a_second(self):
        asked = [self.renewal.wants_echo(NOW + 0.1 * step) for step in range(30)]
        self.assertLessEqual(sum(asked), 3.0 / renewal.ECHO_ASKED_GAP_S + 1)
        self.assertGreaterEqual(sum(asked), 3.0 / renewal.ECHO_WANTED_S)

    def test_lease_is_renewed_once_the_record_has_the_withdrawal(self):
        self.state(NOW, WORKER)
        self.state(NOW + 0.1)
        self.assertFalse(self.renewal.is_persisted())
        terms = self.renewal.make_terms(NOW)
        self.assertFalse(self.may_renew(NOW + 0.1, NOW + 0.1))
        self.renewal.note_persisted(terms)
        self.assertTrue(self.renewal.is_persisted())
        self.assertTrue(self.may_renew(NOW + 0.1, NOW + 0.1))

    def test_withdrawal_that_most_witnesses_know_needs_no_record(self):
        self.state(NOW, WORKER)
        self.state(NOW + 0.1)
        self.renewal.note_persisted(self.renewal.make_terms(NOW))
        self.echo(5, NOW + 0.1, NOW + 0.1)
        self.assertTrue(self.may_renew(NOW + 0.2))

    # Guards against a successor that relies on a statement made before a withdrawal,
    # as the record forgot the withdrawal when the lease was stated again.
    def test_record_has_a_withdrawal_until_most_witnesses_know_it(self):
        self.state(NOW, WORKER)
        self.state(NOW + 0.1)
        self.state(NOW + 0.2, WORKER)
        withdrawn_ms = renewal.to_ms(NOW + 0.1)
        terms = self.renewal.make_terms(NOW)
        self.assertEqual(terms.withdrawn_ms_by_worker, {WORKER: withdrawn_ms})
        self.echo(3, NOW + 0.2, NOW + 0.2)
        self.assertEqual(self.renewal.make_terms(NOW).withdrawn_ms_by_worker, {})

    def test_lease_that_is_stated_again_is_withheld_again(self):
        self.state(NOW, WORKER)
        self.state(NOW + 0.1)
        self.state(NOW + 0.2, WORKER)
        self.echo(5, NOW + 0.2, NOW + 0.2)
        self.assertFalse(self.may_renew(NOW + 0.2))

    def test_owner_without_witnesses_withholds_nothing(self):
        alone = renewal.Renewal(())
        alone.state_silent({WORKER: NOW + 6}, NOW)
        self.assertTrue(alone.may_renew(WORKER, LONG_AGO, NOW))


class Play:
    """An owner and its successor; greetings and heartbeats are late or lost at random.

    The owner is cut off from the store, and it may be from the peers. At each step it
    renews the leases of some workers, as far as it may.
    """

    STEP_S = 0.05
    STEPS = 200
    WORKERS = ("w0", "w1", "w2")
    LEASE_S = 6.0

    def __init__(self, seed):
        self.rng = random.Random(seed)
        peers = [f"p{number}" for number in range(self.rng.choice((1, 2, 3, 5, 8)))]
        self.successor_address = peers[0]
        self.now = 100.0
        self.witness_by_address = {
            address: witnessing.Witness(self.now) for address in peers
        }
        for witness in self.witness_by_address.values():
            witness.take_owner("owner", 5)
        self.renewal = renewal.Renewal(peers)
        self.persisted = self.renewal.make_terms(self.now)
        self.renewal.note_persisted(self.persisted)
        self.confirmed_at = self.now
        self.open_transaction = None
        self.transit = []
        self.silent = set()
        self.lost = self.rng.choice((0.0, 0.2, 0.6))
        self.cut_off_at = self.now + self.rng.uniform(1, 4)
        self.claims_at = self.cut_off_at + self.rng.uniform(-0.5, 2)
        # While the peers do not hear the owner, it goes on by the store alone.
        self.unheard_at = self.now + self.rng.choice((0.5, 2, 100))
        self.over_at_by_worker = dict.fromkeys(self.WORKERS, self.now)
        self.renewed_at = self.now
        self.predecessors = None

    def send(self, deliver, is_owner_heard=True):
        """Deliver a message later, or never."""
        if is_owner_heard and self.rng.random() >= self.lost:
            self.transit.append((self.now + self.rng.expovariate(5), deliver))

    def step(self):
        """Let a little time pass."""
        self.now += self.STEP_S
        due = [deliver for at, deliver in self.transit if at <= self.now]
        self.transit = [one for one in self.transit if one[0] > self.now]
        for deliver in due:
            deliver()
        if self.predecessors is None and self.now >= self.claims_at:
            self.predecessors = predecessors.Predecessors(7, self.now)
        self._act_as_owner()
        for address, witness in self.witness_by_address.items():
            if self.predecessors is not None and self.rng.random() < 0.1:
                witness.take_owner(self.successor_address, 7)
            if self.rng.random() < 0.2:
                self._greet(address, witness)

    def _greet(self, address, witness):
        now = self.now
        echo = witness.attest("owner", now)
        if echo is not None and echo.echo_token:
            self.send(
                lambda: self.renewal.take_echo(address, echo.echo_sent_ms, self.now),
                self.now < self.unheard_at,
            )
        attested = witness.attest(self.successor_address, now)
        if attested is not None:
            self.send(
                lambda: self.predecessors.take_attestation(address, attested, self.now)
            )

    def _act_as_owner(self):
        has_store = self.now < self.cut_off_at and self.predecessors is None
        if self.open_transaction is not None:
            self._go_on_with_transaction(has_store)
        elif has_store and self.rng.random() < 0.3:
            if self.rng.random() < 0.2:
                peers = list(self.witness_by_address)
                count = self.rng.randint(0, len(peers))
                self.renewal.witnesses = tuple(self.rng.sample(peers, count))
            self.open_transaction = (self.now, self.renewal.make_terms(self.now))
        if self.rng.random() < 0.1:
            self.silent ^= {self.rng.choice(self.WORKERS)}
        if self.rng.random() < 0.5:
            over_at_by_id = {one: self.over_at_by_worker[one] for one in self.silent}
            left_ms = self.renewal.state_silent(over_at_by_id, self.now)
            alive = peering.Alive(
                0.0, 5, renewal.to_ms(self.now), left_ms_by_worker=left_ms
            )
            for witness in self.witness_by_address.values():
                self.send(
                    lambda w=witness, a=alive: w.hear("owner", a, self.now),
                    self.now < self.unheard_at,
                )
        for worker_id in set(self.WORKERS) - self.silent:
            if self.renewal.may_renew(worker_id, self.confirmed_at, self.now):
                self.over_at_by_worker[worker_id] = self.now + self.LEASE_S
                self.renewed_at = self.now

    def _go_on_with_transaction(self, has_store):
        """Apply the open transaction, or answer the owner that it was applied."""
        sent_at, terms = self.open_transaction
        if self.persisted is terms:
            if self.rng.random() < 0.5:
                self.open_transaction = None
                self.confirmed_at = sent_at
                self.renewal.note_persisted(terms)
        elif has_store and self.rng.random() < 0.5:
            self.persisted = terms

    def find_ceased_at(self):
        """Find when the successor takes the owner to have ceased; None if never."""
        if self.predecessors is None:
            return None
        return self.predecessors.find_ceased_at(self.persisted.witnesses)

    def find_lapses(self):
        """Find the statements that the successor relies on, a dict, or None."""
        if self.predecessors is None:
            return None
        head = lanes.Head(
            5,
            1,
            "owner",
            (),
            self.persisted.witnesses,
            self.persisted.withdrawn_ms_by_worker,
            self.persisted.stated_since_ms,
        )
        return self.predecessors.find_lapses(head)


class Safety(unittest.TestCase):
    """Tests that no lease outlasts what is known, with late and lost messages."""

    SEEDS = range(400)

    # Guards against tasks that run twice, at a worker that an earlier owner still
    # reaches and elsewhere.
    def test_no_lease_outlasts_what_the_successor_relies_on(self):
        known, stated = 0, 0
        for seed in self.SEEDS:
            play = Play(seed)
            ceased_at, over_at_by_worker = None, {}
            for _ in range(play.STEPS):
                play.step()
                ceased_at = ceased_at or play.find_ceased_at()
                for worker_id, over_at in (play.find_lapses() or {}).items():
                    over_at_by_worker.setdefault(worker_id, over_at)
            with self.subTest(seed=seed):
                if ceased_at is not None:
                    known += 1
                    self.assertLessEqual(play.renewed_at, ceased_at + 1e-3)
                for worker_id, over_at in over_at_by_worker.items():
                    stated += 1
                    at_worker = play.over_at_by_worker[worker_id]
                    self.assertLessEqual(at_worker, over_at + 1e-3)
        self.assertGreater(known, len(self.SEEDS) / 2)
        self.assertGreater(stated, len(self.SEEDS) / 4)


if __name__ == "__main__":
    unittest.main()
