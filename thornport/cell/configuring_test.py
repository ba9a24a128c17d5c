"""What a process knows of the configuration, and by whom it was told."""

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
    """Make a version in which a workspace has some keys, as it is on the wire."""
    tenant = (
        '{"name":"press","api_keys":['
        + ",".join(f'"{key}"' for key in keys)
        + '],"max_items":{"cpu":0,"mem_mb":0,"gpu":0}}'
    )
    return f'{{"version":{version},"tenants":[{tenant}]}}'.encode()


class Told(unittest.TestCase):
    """A process that the store tells, does not tell, or tells late."""

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
        relayed.read_newest = self.read_by_peer
        self.asked = []
        self.taken = []
        self.told = configuring.Configuring(
            self.clock, ports, relayed, self.taken.append
        )
        with mock.patch("thornport.store.watching.follow_key") as follow_key:
            self.told.start()
        self.follow = follow_key.return_value
        self.follow.delivered_revision = 0
        self.age_s = 0.0
        follow_key.return_value.read_age_s = lambda: self.age_s
        self.is_receiving = False
        follow_key.return_value.is_receiving = lambda: self.is_receiving
        follow_key.return_value.is_retrying = lambda: False
        self.told._take(make_value(1, "k1"), 1)

    async def read_by_peer(self, key, known_revision):
        """Read the configuration as a peer of the process would."""
        self.asked.append(known_revision)
        if self.is_relay_away:
            return result.Failure(port.Unavailable("away"))
        if self.relayed_value is None:
            return result.Success(relaying.Unchanged(8))
        return result.Success(transactions.Item(key, self.relayed_value, 2))

    def identify(self, key, called=QUEUE):
        """The name that a key stands for, or why it stands for none."""
        found = self.told.identify(called, key)
        if isinstance(found, result.Failure):
            return found.failure()
        return found.unwrap().workspace

    def test_key_in_force_names_its_workspace(self):
        self.assertEqual(self.identify(b"k1"), "press")
        for key in (b"k2", b"", None):
            self.assertEqual(self.identify(key), configuring.Denial.UNKNOWN)

    def test_public_queue_asks_for_none(self):
        found = self.told.identify(PUBLIC, b"k2").unwrap()
        self.assertEqual(found, workspace.Caller(queue="open"))

    def test_wrong_key_is_no_certainty_where_nothing_was_told_lately(self):
        self.age_s = configuring.MAX_CONFIRMED_AGE_S + 1
        self.assertEqual(self.identify(b"k2"), configuring.Denial.UNCONFIRMED)
        self.assertEqual(self.identify(b"k1"), "press")

    def test_version_that_the_store_does_not_tell_comes_by_way_of_a_peer(self):
        """A process was turned away while keys were taken away, and let them in."""
        self.is_unavailable = True
        self.age_s = configuring.MAX_CONFIRMED_AGE_S + 1
        self.relayed_value = make_value(2, "k2")
        self.clock.advance(configuring.REFRESH_PERIOD_S)
        self.assertEqual(self.identify(b"k1"), configuring.Denial.UNKNOWN)
        self.assertEqual(self.identify(b"k2"), "press")
        self.assertEqual([kept.version for kept in self.taken], [1, 2])

    def test_older_version_of_a_peer_changes_nothing(self):
        self.told._take(make_value(5, "k5"), 5)
        self.is_unavailable = True
        self.clock.advance(configuring.REFRESH_PERIOD_S)
        self.assertEqual(self.identify(b"k5"), "press")

    def test_watch_that_is_silent_is_not_waited_for(self):
        self.age_s = configuring.WATCH_SILENT_S
        self.relayed_value = make_value(2, "k2")
        self.clock.advance(configuring.REFRESH_PERIOD_S)
        self.assertEqual(self.told.config.version, 2)

    def test_nothing_is_read_beside_an_answer_that_is_coming(self):
        """Each copy of a large configuration makes the others come later."""
        self.age_s = configuring.WATCH_SILENT_S
        self.is_receiving = True
        self.clock.advance(configuring.REFRESH_PERIOD_S)
        self.assertEqual(self.asked, [])
        self.is_receiving = False
        self.clock.advance(configuring.REFRESH_PERIOD_S)
        self.assertEqual(len(self.asked), 1)

    def test_answer_that_is_coming_leaves_no_certainty(self):
        self.is_receiving = True
        self.assertEqual(self.identify(b"k2"), configuring.Denial.UNCONFIRMED)

    def test_peer_is_asked_for_what_is_newer_than_known(self):
        self.is_unavailable = True
        self.age_s = configuring.MAX_CONFIRMED_AGE_S + 1
        self.relayed_value = None
        self.clock.advance(configuring.REFRESH_PERIOD_S)
        self.assertEqual(self.asked, [1])
        self.assertTrue(self.told.is_confirmed())

    def test_question_goes_on_from_where_it_was_last_told(self):
        """The store knows no history of what is older than 20 s."""
        self.is_unavailable = True
        self.follow.delivered_revision = 4
        self.relayed_value = None
        self.clock.pump([configuring.REFRESH_PERIOD_S] * 2)
        self.assertEqual(self.asked, [4, 8])

    def test_peer_that_cannot_read_confirms_nothing(self):
        self.is_unavailable = self.is_relay_away = True
        self.age_s = configuring.MAX_CONFIRMED_AGE_S + 1
        self.clock.advance(configuring.REFRESH_PERIOD_S)
        self.assertFalse(self.told.is_confirmed())


class FakeStore:
    """Answers when told."""

    def is_unavailable(self):
        """It answers other calls."""
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
    """A process that a watch has told its first version; a peer answers nothing."""

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
        self.told = configuring.Configuring(
            self.clock, ports, self.relayed, mock.Mock()
        )
        self.told.start()
        item = transactions.Item(config.CONFIG_KEY, make_value(1, "k1"), 1)
        self.store.waiting.callback(result.Success(transactions.Page([item], False, 1)))


class BrokenOff(Watched):
    """A watch whose answer breaks off after some seconds, which asks again at once."""

    def setUp(self):
        super().setUp()
        for _ in range(9):
            self.clock.advance(0.3)
            self.store.send_bytes()
        self.clock.advance(0.2)
        self.store.waiting.callback(result.Failure(port.Unavailable("broken off")))

    def test_nothing_is_read_beside_the_watch_that_asks_again(self):
        """Two copies over a slow link come later than one, and may break off again."""
        self.clock.advance(0.15)
        self.clock.advance(0.15)
        self.store.send_bytes()
        self.clock.advance(0.5)
        self.relayed.read_newest.assert_not_called()

    def test_watch_that_is_not_answered_again_is_not_waited_for(self):
        self.clock.pump([0.1] * 15)
        self.relayed.read_newest.assert_called_once()


class HeldUp(Watched):
    """A link to the store that freezes, hands over what it held, and is cut."""

    def thaw(self, held_s, *changes):
        """Hand over the answer of a watch some time after it was sent, then cut."""
        self.clock.advance(held_s)
        told = transactions.Changes(changes, 2)
        self.store.waiting.callback(result.Success(told))
        self.store.waiting.callback(result.Failure(port.Unavailable("cut")))

    # A queue was denied with 404 3.5 s after its version was acknowledged.
    def test_version_that_was_held_up_is_no_certainty_for_longer(self):
        change = transactions.Change(config.CONFIG_KEY, make_value(2, "k2"), 2)
        self.thaw(1.4, change)
        self.assertEqual(self.told.config.version, 2)
        self.clock.advance(configuring.MAX_CONFIRMED_AGE_S - 1.4)
        self.assertFalse(self.told.is_confirmed())

    # The same where the answer has no change.
    def test_silence_that_was_held_up_is_no_certainty_for_longer(self):
        wait_s = watching.WATCH_MS / clock.MS_PER_S
        self.thaw(wait_s + 0.5)
        self.assertTrue(self.told.is_confirmed())
        self.clock.advance(configuring.MAX_CONFIRMED_AGE_S - 0.5)
        self.assertFalse(self.told.is_confirmed())


class Late(unittest.TestCase):
    """A peer sends a version when it was given up: it had others to serve."""

    def test_version_that_comes_late_is_in_force(self):
        """Each asks another peer meanwhile, and would have it sent for ever."""
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
        told = configuring.Configuring(reactor, ports, relayed, mock.Mock())
        with mock.patch("thornport.store.watching.follow_key") as follow_key:
            follow = follow_key.return_value
            follow.delivered_revision = 0
            follow.is_receiving.return_value = False
            follow.is_retrying.return_value = False
            follow.read_age_s.return_value = None
            told.start()
        reactor.advance(configuring.REFRESH_PERIOD_S)
        (_, _, question), _ = bus.send.call_args
        reactor.pump([0.1] * 9)
        for key, version in (("op/other", 3), (config.CONFIG_KEY, 2)):
            item = transactions.Item(key, make_value(version, "k1"), 2)
            relayed.take_answer(peering.RelayedItem(question.ask_id, item))
        self.assertEqual(told.config.version, 2)
        # When it was read is not known.
        self.assertFalse(told.is_confirmed())


if __name__ == "__main__":
    unittest.main()
