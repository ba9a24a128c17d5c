"""The bus when open connections fall silent without a reset and new ones work."""

import contextlib
import selectors
import socket
import threading
import time
import unittest

from thornport.kernel import codec, metrics
from thornport.peers import bus

WAIT_S = 20.0  # far longer than any timeout of the bus
POLL_S = 0.02
READ_BYTES = 8192  # one forwarded read
LARGE_BYTES = 1_100_000
SLOW_BYTES_PER_S = 550_000  # of one connection over the smallest link


class Ping(codec.Message):
    """A test message."""

    number: int
    body: bytes = b""


class FakeReactor:
    """Ignores readers and scheduled calls: the tests call `doRead` themselves."""

    def addReader(self, reader):
        """Ignore a reader."""

    def removeReader(self, reader):
        """Ignore the removal of a reader."""

    def callLater(self, delay_s, call, *args):
        """Ignore a scheduled call."""


class OddMessages(unittest.TestCase):
    """Messages and addresses that one process can't use."""

    def setUp(self):
        self.codec = codec.Codec(Ping)
        self.taken = []
        self.failures = 0
        self.receiver = self.make_bus(self.take)
        self.sender = self.make_bus(self.take)

    def make_bus(self, deliver):
        """Make a bus at a free local port."""
        made = bus.Bus(FakeReactor(), self.codec, metrics.Metrics())
        self.addCleanup(made.close)
        made.bind("127.0.0.1", 0)
        made.start("1a2b", deliver)
        return made

    def take(self, sender, address, message):
        """Take a message, but raise at the number 1."""
        if message.number == 1:
            self.failures += 1
            raise OverflowError("number too large")
        self.taken.append(message.number)

    # Guards against a message that ends the receiving of a process.
    def test_message_that_raises_ends_no_receiving(self):
        deadline = time.monotonic() + WAIT_S
        while not self.taken and time.monotonic() < deadline:
            self.sender.send(self.receiver.address, "", Ping(1))
            self.sender.send(self.receiver.address, "", Ping(2))
            time.sleep(POLL_S)
            self.receiver.doRead()
        self.assertGreater(self.failures, 0)
        self.assertEqual(self.taken[0], 2)

    # Guards against an address by another writer that ends what sends to it.
    def test_message_to_an_odd_address_is_dropped(self):
        for address in (
            "",
            "a",
            "10.0.0.1",
            "10.0.0.1:",
            "10.0.0.1:99999",
            "::",
            "a b:1",
        ):
            with self.subTest(address=address):
                self.assertFalse(self.sender.send(address, "", Ping(1)))
                self.sender.send_to_all([address], Ping(1))


class Forwarder:
    """Forwards connections to an address, until they are silenced.

    Attributes:
      accepted: An int, how many connections were accepted.
      bytes_per_s: An int, the rate limit of forwarding; 0 for none.
    """

    def __init__(self, target):
        """Listen on a free local port.

        Args:
          target: A pair of str and int, the address to forward to.
        """
        self._target = target
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]
        self._selector = selectors.DefaultSelector()
        self._selector.register(self._listener, selectors.EVENT_READ)
        self._other_by_side = {}
        self._silenced = set()
        self._is_running = True
        self.accepted = 0
        self.bytes_per_s = 0
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def silence(self):
        """Discard all further data on the connections that are open now."""
        self._silenced.update(self._other_by_side)

    def close(self):
        """Stop the thread and close all connections."""
        self._is_running = False
        self._thread.join()
        for side in (self._listener, *self._other_by_side):
            side.close()
        self._selector.close()

    def _run(self):
        while self._is_running:
            for key, _ in self._selector.select(POLL_S):
                if key.fileobj is self._listener:
                    self._accept()
                else:
                    self._forward(key.fileobj)

    def _accept(self):
        near, _ = self._listener.accept()
        far = socket.create_connection(self._target)
        self.accepted += 1
        for side, other in ((near, far), (far, near)):
            self._other_by_side[side] = other
            self._selector.register(side, selectors.EVENT_READ)

    def _forward(self, side):
        data = b""
        with contextlib.suppress(OSError):
            data = side.recv(READ_BYTES)
        if not data:
            self._selector.unregister(side)
        elif side not in self._silenced:
            with contextlib.suppress(OSError):
                self._other_by_side[side].sendall(data)
            if self.bytes_per_s:
                time.sleep(len(data) / self.bytes_per_s)


class Silence(unittest.TestCase):
    """Silent connections, between two buses that are connected by a forwarder."""

    def setUp(self):
        self.received = []
        messages = codec.Codec(Ping)
        self.sender, self.receiver = (
            bus.Bus(FakeReactor(), messages, metrics.Metrics()) for _ in range(2)
        )
        for each in (self.sender, self.receiver):
            each.bind("127.0.0.1", 0)
            self.addCleanup(each.close)
        self.receiver.start(
            "b", lambda sender, address, ping: self.received.append(ping)
        )
        host, port = self.receiver.bound_address.split(":")
        self.forwarder = Forwarder((host, int(port)))
        self.addCleanup(self.forwarder.close)

    def send_until_one_arrives(self):
        """Send repeatedly until a message arrives; false if none does in WAIT_S."""
        self.received.clear()
        give_up_at = time.monotonic() + WAIT_S
        number = 0
        while not self.received and time.monotonic() < give_up_at:
            number += 1
            address = f"127.0.0.1:{self.forwarder.port}"
            self.sender.send(address, "", Ping(number))
            time.sleep(POLL_S)
            self.receiver.doRead()
        return bool(self.received)

    def test_connection_that_falls_silent_is_replaced(self):
        self.assertTrue(self.send_until_one_arrives())
        self.forwarder.silence()
        self.assertTrue(self.send_until_one_arrives())
        self.assertEqual(self.forwarder.accepted, 2)

    def test_large_message_arrives_over_slow_link(self):
        """A transfer longer than the heartbeat timeout doesn't break the connection.

        A configuration that is read through a peer is such a message.
        """
        self.assertTrue(self.send_until_one_arrives())
        time.sleep(2 * bus.HEARTBEAT_MS / 1000)
        self.forwarder.bytes_per_s = SLOW_BYTES_PER_S
        self.received.clear()
        address = f"127.0.0.1:{self.forwarder.port}"
        self.assertTrue(self.sender.send(address, "", Ping(0, bytes(LARGE_BYTES))))
        give_up_at = time.monotonic() + 3 * LARGE_BYTES / SLOW_BYTES_PER_S
        while not self.received and time.monotonic() < give_up_at:
            time.sleep(POLL_S)
            self.receiver.doRead()
        self.assertEqual([len(ping.body) for ping in self.received], [LARGE_BYTES])


if __name__ == "__main__":
    unittest.main()
