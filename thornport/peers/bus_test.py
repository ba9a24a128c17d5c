"""The bus over connections that fall silent without ending, while new ones work."""

import contextlib
import selectors
import socket
import threading
import time
import unittest

from thornport.kernel import codec, metrics
from thornport.peers import bus

WAIT_S = 20.0  # for what must come; far above any time-out of the bus
POLL_S = 0.02
PIECE_BYTES = 8192  # of what is passed on at a rate
LARGE_BYTES = 1_100_000
SLOW_BYTES_PER_S = 550_000  # one connection over the smallest link


class Ping(codec.Message):
    """A message."""

    number: int
    body: bytes = b""


class FakeReactor:
    """Takes what the bus wants done, and does nothing: the tests poll."""

    def addReader(self, reader):
        """Take a reader."""

    def removeReader(self, reader):
        """Forget a reader."""

    def callLater(self, delay_s, call, *args):
        """Take a call."""


class Forwarder:
    """Forwards connections to an address, until they are silenced for good.

    Attributes:
      bytes_per_s: An int, the rate at which bytes are passed on; 0 for any.
    """

    def __init__(self, target):
        """Listen.

        Args:
          target: A pair of str and int, where connections go.
        """
        self._target = target
        self._listening = socket.create_server(("127.0.0.1", 0))
        self.port = self._listening.getsockname()[1]
        self._selector = selectors.DefaultSelector()
        self._selector.register(self._listening, selectors.EVENT_READ)
        self._other_by_side = {}
        self._silenced = set()
        self._is_running = True
        self.accepted = 0
        self.bytes_per_s = 0
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def silence(self):
        """Let nothing more through the connections that are open now."""
        self._silenced.update(self._other_by_side)

    def close(self):
        """End the thread and all connections."""
        self._is_running = False
        self._thread.join()
        for side in (self._listening, *self._other_by_side):
            side.close()
        self._selector.close()

    def _run(self):
        while self._is_running:
            for key, _ in self._selector.select(POLL_S):
                if key.fileobj is self._listening:
                    self._accept()
                else:
                    self._pass_on(key.fileobj)

    def _accept(self):
        near, _ = self._listening.accept()
        far = socket.create_connection(self._target)
        self.accepted += 1
        for side, other in ((near, far), (far, near)):
            self._other_by_side[side] = other
            self._selector.register(side, selectors.EVENT_READ)

    def _pass_on(self, side):
        data = b""
        with contextlib.suppress(OSError):
            data = side.recv(PIECE_BYTES)
        if not data:
            self._selector.unregister(side)
        elif side not in self._silenced:
            with contextlib.suppress(OSError):
                self._other_by_side[side].sendall(data)
            if self.bytes_per_s:
                time.sleep(len(data) / self.bytes_per_s)


class Silence(unittest.TestCase):
    """Two processes, and a forwarder on the way from one to the other."""

    def setUp(self):
        self.got = []
        messages = codec.Codec(Ping)
        self.sender, self.receiver = (
            bus.Bus(FakeReactor(), messages, metrics.Metrics()) for _ in range(2)
        )
        for each in (self.sender, self.receiver):
            each.bind("127.0.0.1", 0)
            self.addCleanup(each.close)
        self.receiver.start("b", lambda sender, address, ping: self.got.append(ping))
        host, port = self.receiver.bound_address.split(":")
        self.forwarder = Forwarder((host, int(port)))
        self.addCleanup(self.forwarder.close)

    def send_until_one_arrives(self):
        """Send again and again; false if nothing has come for very long."""
        self.got.clear()
        give_up_at = time.monotonic() + WAIT_S
        number = 0
        while not self.got and time.monotonic() < give_up_at:
            number += 1
            address = f"127.0.0.1:{self.forwarder.port}"
            self.sender.send(address, "", Ping(number))
            time.sleep(POLL_S)
            self.receiver.doRead()
        return bool(self.got)

    def test_connection_that_falls_silent_is_replaced(self):
        self.assertTrue(self.send_until_one_arrives())
        self.forwarder.silence()
        self.assertTrue(self.send_until_one_arrives())
        self.assertEqual(self.forwarder.accepted, 2)

    def test_large_message_comes_over_a_slow_link(self):
        """It takes longer than a sign of life may take, and its bytes keep coming.

        A configuration that is read by way of a peer is such a message.
        """
        self.assertTrue(self.send_until_one_arrives())
        time.sleep(2 * bus.HEARTBEAT_MS / 1000)
        self.forwarder.bytes_per_s = SLOW_BYTES_PER_S
        self.got.clear()
        address = f"127.0.0.1:{self.forwarder.port}"
        self.assertTrue(self.sender.send(address, "", Ping(0, bytes(LARGE_BYTES))))
        give_up_at = time.monotonic() + 3 * LARGE_BYTES / SLOW_BYTES_PER_S
        while not self.got and time.monotonic() < give_up_at:
            time.sleep(POLL_S)
            self.receiver.doRead()
        self.assertEqual([len(ping.body) for ping in self.got], [LARGE_BYTES])


if __name__ == "__main__":
    unittest.main()
