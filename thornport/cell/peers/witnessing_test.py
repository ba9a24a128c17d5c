"""Tests what a process attests about the owner that it follows and the one before."""

import unittest

from thornport.cell.peers import peering, witnessing

OWNER = "10.0.0.1:1"
SUCCESSOR = "10.0.0.2:1"


class Attesting(unittest.TestCase):
    """Tests a process that follows an owner, and then its successor."""

    def setUp(self):
        self.witness = witnessing.Witness(10.0)
        self.witness.take_owner(OWNER, 5)

    def hear(self, now, sent_ms, address=OWNER, token=5, **left_ms_by_worker):
        """Take a heartbeat."""
        alive = peering.Alive(0.0, token, sent_ms, left_ms_by_worker=left_ms_by_worker)
        self.witness.hear(address, alive, now)

    def test_heartbeat_of_the_owner_is_echoed(self):
        self.hear(20.0, 700)
        self.hear(20.1, 800)
        attested = self.witness.attest(OWNER, 20.2)
        self.assertEqual((attested.echo_token, attested.echo_sent_ms), (5, 800))
        self.assertEqual(attested.follows, 5)

    def test_heartbeat_that_was_overtaken_states_nothing(self):
        self.hear(20.0, 800)
        self.hear(20.25, 700, w0=4000)
        self.witness.take_owner(SUCCESSOR, 7)
        attested = self.witness.attest(SUCCESSOR, 20.5)
        self.assertEqual(attested.earlier_sent_ms, 800)
        self.assertEqual(attested.earlier_ago_ms, 250)
        self.assertEqual(attested.left_ms_by_worker, {})

    def test_heartbeat_of_another_process_is_not_echoed(self):
        self.hear(20.0, 700)
        self.hear(20.1, 900, address=SUCCESSOR, token=7)
        self.assertEqual(self.witness.attest(OWNER, 20.2).echo_sent_ms, 700)

    # Guards against a successor that waits for a lease that was over as it took over.
    def test_lease_that_is_over_by_now_is_attested(self):
        self.hear(20.0, 800, w0=300)
        self.witness.take_owner(SUCCESSOR, 7)
        attested = self.witness.attest(SUCCESSOR, 20.5)
        self.assertEqual(attested.left_ms_by_worker, {"w0": 0})

    def test_leases_of_an_earlier_owner_are_not_attested_for_ever(self):
        self.hear(20.0, 800, w0=300)
        self.witness.take_owner(SUCCESSOR, 7)
        late = 20.1 + witnessing.ATTESTED_S
        attested = self.witness.attest(SUCCESSOR, late)
        self.assertEqual(attested.left_ms_by_worker, {})
        self.assertEqual(attested.earlier_sent_ms, 800)

    # Guards against an owner that a process echoes again after a stale read of the key.
    def test_earlier_owner_is_not_followed_again_by_a_stale_read(self):
        self.hear(20.0, 700)
        self.witness.take_owner(SUCCESSOR, 7)
        self.witness.take_owner(OWNER, 5)
        self.hear(20.1, 800)
        self.assertIsNone(self.witness.attest(OWNER, 20.2))
        self.assertEqual(self.witness.attest(SUCCESSOR, 20.2).earlier_sent_ms, 700)

    # Guards against an owner without echoes after its VM, and its clock, began anew.
    def test_owner_that_is_back_at_its_address_with_a_new_clock_is_echoed(self):
        self.hear(20.0, 90_000, w0=4000)
        self.witness.take_owner(OWNER, 9)
        self.hear(30.0, 200, token=9)
        attested = self.witness.attest(OWNER, 30.1)
        self.assertEqual((attested.echo_token, attested.echo_sent_ms), (9, 200))
        self.hear(30.2, 90_100, token=5, w0=4000)
        self.assertEqual(self.witness.attest(OWNER, 30.3).echo_token, 9)

    # Guards against an owner that goes on since a process echoes it to the end.
    def test_earlier_owner_is_echoed_no_more(self):
        self.hear(20.0, 700)
        self.witness.take_owner(SUCCESSOR, 7)
        self.hear(20.1, 800)
        self.assertIsNone(self.witness.attest(OWNER, 20.2))
        attested = self.witness.attest(SUCCESSOR, 20.5)
        self.assertEqual((attested.follows, attested.echo_token), (7, 0))
        self.assertEqual(attested.earlier_ago_ms, 500)
        self.assertEqual((attested.earlier_token, attested.earlier_sent_ms), (5, 700))

    def test_owner_is_followed_while_its_key_is_free(self):
        self.hear(20.0, 700)
        self.witness.take_owner("", 0)
        self.hear(20.1, 800)
        self.assertEqual(self.witness.attest(OWNER, 20.2).echo_sent_ms, 800)

    def test_process_that_heard_no_owner_states_the_time_since_its_start(self):
        self.witness.take_owner(SUCCESSOR, 7)
        attested = self.witness.attest(SUCCESSOR, 12.5)
        self.assertEqual((attested.earlier_token, attested.earlier_ago_ms), (0, 2500))

    def test_owner_that_was_never_heard_hides_no_earlier_one(self):
        self.hear(20.0, 700)
        self.witness.take_owner(SUCCESSOR, 7)
        self.witness.take_owner("10.0.0.3:1", 9)
        attested = self.witness.attest("10.0.0.3:1", 21.0)
        self.assertEqual((attested.earlier_token, attested.earlier_ago_ms), (5, 1000))

    def test_statements_about_silent_workers_are_counted_down(self):
        self.hear(20.0, 700, w0=4000, w1=300)
        self.witness.take_owner(SUCCESSOR, 7)
        attested = self.witness.attest(SUCCESSOR, 20.5)
        self.assertEqual(attested.left_ms_by_worker, {"w0": 3500, "w1": 0})


if __name__ == "__main__":
    unittest.main()
