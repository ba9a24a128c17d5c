"""Tests of following the configuration through the store and through peers."""

import unittest
from unittest import mock

from returns import result
from twisted.internet import defer, task

from thornport.cell import configuring
from thornport.cell.peers import peering, relaying
from thornport.jobs import queue, workspace
from thornport.kernel import clock
from thornport.platform import config
from thornport.store import port, transactions, watching

QUEUE = queue.Queue("press")
PUBLIC = queue.Queue("open", is_public=True)


def make_value(version, *keys):
    """Make the encoded configuration of a version whose workspace has `keys`."""
    tenant = (
        '{"name":"press","api_keys":['
        + ",".join(f'"{key}"' for key in keys)
        + '],"max_items":{"cpu":0,"mem_mb":0,"gpu":0}}'
    )
    return f'{{"version":{version},"tenants":[{tenant}]}}'.encode()


class Following(unittest.TestCase):
    """A process whose watch works, is silent or is answered late."""

    def setUp(self):
        self.clock = task.Clock()
        self.clock.advance(100.0)
        patched = mock.patch.object(clock, "read_monotonic", self.clock.seconds)
        patched.start()
        self.addCleanup(patched.stop)
        ports = mock.Mock(config_key=config.CONFIG_KEY)
        ports.decode_config = config.decode_config
        ports.decode_errors = (ValueError,)
        ports.store.is_unavailable.side_effect = lambda: self.is_unavailable
        self.is_unavailable = False
        self.is_relay_away = False
        self.relayed_value = make_value(1, "k1")
        relayed = mock.Mock()
        relayed.read_newest = self.read_through_peer
        self.asked = []
        self.taken = []
        self.follower = configuring.Configuring(
            self.clock, ports, relayed, self.taken.append
        )
        with mock.patch("thornport.store.watching.follow_key") as follow_key:
            self.follower.start()
        self.follow = follow_key.return_value
        self.follow.delivered_revision = 0
        self.age_s = 0.0
        follow_key.return_value.read_age_s = lambda: self.age_s
        self.is_receiving = False
        follow_key.return_value.is_receiving = lambda: self.is_receiving
        follow_key.return_value.is_retrying = lambda: False
        self.follower._apply(make_value(1, "k1"), 1)

    async def read_through_peer(self, key, known_revision):
        """Answer a read of the configuration as a peer would."""
        self.asked.append(known_revision)
        if self.is_relay_away:
            return result.Failure(port.Unavailable("away"))
        if self.relayed_value is None:
            return result.Success(relaying.Unchanged(8))
        return result.Success(transactions.Item(key, self.relayed_value, 2))

    def identify(self, key, called=QUEUE):
        """Return the workspace that a key identifies, or the Denial."""
        found = self.follower.identify(called, key)
        if isinstance(found, result.Failure):
            return found.failure()
        return found.unwrap().workspace

    def test_key_in_force_identifies_its_workspace(self):
        self.assertEqual(self.identify(b"k1"), "press")
        for key in (b"k2", b"", None):
            self.assertEqual(self.identify(key), configuring.Denial.UNKNOWN)

    def test_public_queue_needs_no_key(self):
        found = self.follower.identify(PUBLIC, b"k2").unwrap()
        self.assertEqual(found, workspace.Caller(queue="open"))

    def test_denial_is_unconfirmed_without_a_recent_confirmation(self):
        self.age_s = configuring.MAX_CONFIRMED_AGE_S + 1
        self.assertEqual(self.identify(b"k2"), configuring.Denial.UNCONFIRMED)
        self.assertEqual(self.identify(b"k1"), "press")

    def test_new_version_is_read_through_a_peer_while_the_store_is_unavailable(self):
        """A process that the store refused went on accepting revoked keys."""
        self.is_unavailable = True
        self.age_s = configuring.MAX_CONFIRMED_AGE_S + 1
        self.relayed_value = make_value(2, "k2")
        self.clock.advance(configuring.REFRESH_PERIOD_S)
        self.assertEqual(self.identify(b"k1"), configuring.Denial.UNKNOWN)
        self.assertEqual(self.identify(b"k2"), "press")
        self.assertEqual([taken.version for taken in self.taken], [1, 2])

    def test_older_version_from_a_peer_is_ignored(self):
        self.follower._apply(make_value(5, "k5"), 5)
        self.is_unavailable = True
        self.clock.advance(configuring.REFRESH_PERIOD_S)
        self.assertEqual(self.identify(b"k5"), "press")

    def test_silent_watch_is_bypassed_by_a_read_through_a_peer(self):
        self.age_s = configuring.WATCH_SILENT_S
        self.relayed_value = make_value(2, "k2")
        self.clock.advance(configuring.REFRESH_PERIOD_S)
        self.assertEqual(self.follower.config.version, 2)

    def test_no_read_starts_while_an_answer_is_being_received(self):
        """Each further copy of a large configuration delays the others."""
        self.age_s = configuring.WATCH_SILENT_S
        self.is_receiving = True
        self.clock.advance(configuring.REFRESH_PERIOD_S)
        self.assertEqual(self.asked, [])
        self.is_receiving = False
        self.clock.advance(configuring.REFRESH_PERIOD_S)
        self.assertEqual(len(self.asked), 1)

    def test_denial_is_unconfirmed_while_an_answer_is_being_received(self):
        self.is_receiving = True
        self.assertEqual(self.identify(b"k2"), configuring.Denial.UNCONFIRMED)

    def test_peer_is_asked_for_changes_after_the_known_version(self):
        self.is_unavailable = True
        self.age_s = configuring.MAX_CONFIRMED_AGE_S + 1
        self.relayed_value = None
        self.clock.advance(configuring.REFRESH_PERIOD_S)
        self.assertEqual(self.asked, [1])
        self.assertTrue(self.follower.is_confirmed())

    def test_next_read_starts_from_the_last_known_revision(self):
        """The store keeps no history older than 20 s."""
        self.is_unavailable = True
        self.follow.delivered_revision = 4
        self.relayed_value = None
        self.clock.pump([configuring.REFRESH_PERIOD_S] * 2)
        self.assertEqual(self.asked, [4, 8])

    def test_failed_read_of_a_peer_confirms_nothing(self):
        self.is_unavailable = self.is_relay_away = True
        self.age_s = configuring.MAX_CONFIRMED_AGE_S + 1
        self.clock.advance(configuring.REFRESH_PERIOD_S)
        self.assertFalse(self.follower.is_confirmed())


class FakeStore:
    """A store whose calls stay open until the test answers them."""

    def is_unavailable(self):
        """The store counts as available."""
        return False

    def read_page(self, prefix, after_key="", on_bytes=None):
        """Begin to read a page."""
        return self._ask(on_bytes)

    def watch(self, prefix, after_revision, wait_ms, on_bytes=None):
        """Begin to watch."""
        return self._ask(on_bytes)

    def _ask(self, on_bytes):
        self.send_bytes = on_bytes
        self.waiting = defer.Deferred()
        return self.waiting


class Watched(unittest.TestCase):
    """A process whose watch delivered the first version; peers do not answer."""

    def setUp(self):
        self.clock = task.Clock()
        patched = mock.patch.object(clock, "read_monotonic", self.clock.seconds)
        patched.start()
        self.addCleanup(patched.stop)
        self.store = FakeStore()
        ports = mock.Mock(config_key=config.CONFIG_KEY, store=self.store)
        ports.decode_config = config.decode_config
        self.relayed = mock.Mock()
        self.relayed.read_newest.side_effect = lambda *_: defer.Deferred()
        self.follower = configuring.Configuring(
            self.clock, ports, self.relayed, mock.Mock()
        )
        self.follower.start()
        item = transactions.Item(config.CONFIG_KEY, make_value(1, "k1"), 1)
        self.store.waiting.callback(result.Success(transactions.Page([item], False, 1)))


class BrokenOff(Watched):
    """A watch that is retried at once after its answer broke off some seconds in."""

    def setUp(self):
        super().setUp()
        for _ in range(9):
            self.clock.advance(0.3)
            self.store.send_bytes()
        self.clock.advance(0.2)
        self.store.waiting.callback(result.Failure(port.Unavailable("broken off")))

    def test_no_read_starts_while_the_watch_is_retried(self):
        """Over a slow link two copies take longer than one and may break off again."""
        self.clock.advance(0.15)
        self.clock.advance(0.15)
        self.store.send_bytes()
        self.clock.advance(0.5)
        self.relayed.read_newest.assert_not_called()

    def test_retried_watch_without_an_answer_is_bypassed(self):
        self.clock.pump([0.1] * 15)
        self.relayed.read_newest.assert_called_once()


class Delayed(Watched):
    """A link to the store that freezes, delivers the delayed answer, and breaks."""

    def deliver_late(self, delay_s, *changes):
        """Deliver the answer of a watch `delay_s` after its sending; cut the link."""
        self.clock.advance(delay_s)
        answer = transactions.Changes(changes, 2)
        self.store.waiting.callback(result.Success(answer))
        self.store.waiting.callback(result.Failure(port.Unavailable("cut")))

    # Guards against denying a queue with 404, which happened 3.5 s after its version
    # was acknowledged.
    def test_delayed_version_confirms_only_from_when_it_was_sent(self):
        change = transactions.Change(config.CONFIG_KEY, make_value(2, "k2"), 2)
        self.deliver_late(1.4, change)
        self.assertEqual(self.follower.config.version, 2)
        self.clock.advance(configuring.MAX_CONFIRMED_AGE_S - 1.4)
        self.assertFalse(self.follower.is_confirmed())

    # The same for an answer without changes.
    def test_delayed_answer_without_changes_confirms_only_from_its_sending(self):
        wait_s = watching.WATCH_MS / clock.MS_PER_S
        self.deliver_late(wait_s + 0.5)
        self.assertTrue(self.follower.is_confirmed())
        self.clock.advance(configuring.MAX_CONFIRMED_AGE_S - 0.5)
        self.assertFalse(self.follower.is_confirmed())


class Late(unittest.TestCase):
    """A busy peer answers a read after the process has given it up."""

    def test_version_from_a_late_answer_is_in_force(self):
        """With late answers dropped, the process would ask one peer after another."""
        reactor = task.Clock()
        patched = mock.patch.object(clock, "read_monotonic", reactor.seconds)
        patched.start()
        self.addCleanup(patched.stop)
        ports = mock.Mock(config_key=config.CONFIG_KEY)
        ports.decode_config = config.decode_config
        ports.store = mock.Mock(slowest_s=0.0)
        ports.store.is_unavailable.return_value = True
        bus = mock.Mock()
        relayed = relaying.RelayedStore(reactor, ports.store, bus)
        relayed.peer_addresses = ("p:1", "p:2")
        relayed.hear_peer()
        follower = configuring.Configuring(reactor, ports, relayed, mock.Mock())
        with mock.patch("thornport.store.watching.follow_key") as follow_key:
            follow = follow_key.return_value
            follow.delivered_revision = 0
            follow.is_receiving.return_value = False
            follow.is_retrying.return_value = False
            follow.read_age_s.return_value = None
            follower.start()
        reactor.advance(configuring.REFRESH_PERIOD_S)
        (_, _, question), _ = bus.send.call_args
        reactor.pump([0.1] * 9)
        for key, version in (("op/other", 3), (config.CONFIG_KEY, 2)):
            item = transactions.Item(key, make_value(version, "k1"), 2)
            relayed.take_answer(peering.RelayedItem(question.ask_id, item))
        self.assertEqual(follower.config.version, 2)
        # The time of the peer's read is unknown.
        self.assertFalse(follower.is_confirmed())


if __name__ == "__main__":
    unittest.main()
