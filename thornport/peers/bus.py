"""The bus: typed messages between processes by pyzmq, one way each.

Every process binds one PULL socket and connects one PUSH socket to each peer
it talks to. zmq hides lost connections, so its silence proves nothing: lease
and heartbeat are the slices' own. Its own heartbeats replace connections alone.
Queues are bounded, and what does not fit is dropped and counted; every message
of ours is one that may be lost.
"""

import zmq
from twisted.internet import interfaces
from zope.interface import implementer

from thornport.kernel import codec, logs

HIGH_WATER_MARK = 2000
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
MAX_RECEIVED_AT_ONCE = 200
# A connection that falls silent without a reset is replaced within a second: each is
# asked for a sign of life this often, and has as long to answer. A quarter of a second
# would cost the owner of a large cell hundreds of wake-ups a second.
HEARTBEAT_MS = 500
# A receiver counts whole messages as signs of life alone: the largest value of the
# store, 1.4 MB, takes 6 s over the slowest link. Whoever sends notices silence sooner.
RECEIVER_PATIENCE_MS = 10_000
RECONNECT_MS = 50
RECONNECT_MAX_MS = 1000


class Frame(codec.Message):
    """What goes around a message.

    Attributes:
      sender: A str, the member id of the sender's life.
      address: A str, `IP:PORT` to answer to.
      target: A str, the member id it is meant for; empty for whoever is
        there. A message for an earlier life is dropped.
      body: Bytes, the encoded message.
    """

    sender: str
    address: str
    target: str
    body: bytes


@implementer(interfaces.IReadDescriptor)
class Bus:
    """The sockets of one process.

    Attributes:
      address: A str, `IP:PORT` that peers are told.
      bound_address: A str, `IP:PORT` that is bound here.
      member_id: A str, the life that messages are for.
    """

    def __init__(self, reactor, message_codec, metrics):
        """Make the sockets; nothing is bound yet.

        Args:
          reactor: Twisted's reactor.
          message_codec: A codec.Codec of the messages that may arrive.
          metrics: A metrics.Metrics.
        """
        self._reactor = reactor
        self._codec = message_codec
        self._frames = codec.Codec(Frame)
        self._metrics = metrics
        self._context = zmq.Context()
        self._push_by_address = {}
        self._take = None
        self._pull = self._context.socket(zmq.PULL)
        self._pull.set(zmq.RCVHWM, HIGH_WATER_MARK)
        self._pull.set(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        self._pull.set(zmq.LINGER, 0)
        self._is_reading = False
        self.address = ""
        self.bound_address = ""
        self.member_id = ""

    def bind(self, ip, port, advertised=""):
        """Bind the receiving socket.

        Args:
          ip: A str.
          port: An int; 0 lets the kernel choose.
          told: A str, `IP:PORT` that peers are told; empty for the one bound.
        Returns:
          A str, the address that peers are told.
        """
        bound = self._pull.bind(f"tcp://{ip}:{port or '*'}")
        endpoint = self._pull.get(zmq.LAST_ENDPOINT) if bound is not None else b""
        self.bound_address = endpoint.decode().rstrip("\x00").removeprefix("tcp://")
        self.address = advertised or self.bound_address
        return self.address

    def start(self, member_id, take):
        """Start receiving.

        Args:
          member_id: A str, of this life of the process.
          take: A callable of sender id, sender address and message.
        """
        self.member_id = member_id
        self._take = take
        self._reactor.addReader(self)
        self._reactor.callLater(0, self.doRead)

    def set_member_id(self, member_id):
        """Go on as another life.

        Args:
          member_id: A str.
        """
        self.member_id = member_id

    def send(self, address, target, message):
        """Send a message; it may be lost.

        Args:
          address: A str, `IP:PORT`.
          target: A str, a member id, or empty.
          message: A struct.
        Returns:
          A bool, false when it is lost already: there is no connection yet, or the
          queue is full.
        """
        if address == self.address:
            self._reactor.callLater(0, self._take, self.member_id, address, message)
            return True
        return self._send_frame(address, self._encode(target, message))

    def send_to_all(self, addresses, message):
        """Send a message to whoever is there at some addresses, encoded once.

        Args:
          addresses: An iterable of str, without the own one.
          message: A struct.
        """
        data = self._encode("", message)
        for address in addresses:
            self._send_frame(address, data)

    def _encode(self, target, message):
        body = self._codec.encode(message)
        frame = Frame(self.member_id, self.address, target, body)
        return self._frames.encode(frame)

    def _send_frame(self, address, data):
        """Send an encoded frame; a bool, whether it is not lost already."""
        try:
            self._find_push(address).send(data, zmq.NOBLOCK)
        except zmq.Again:
            self._metrics.count("peers.dropped")
            return False
        self._metrics.count("peers.sent")
        self._metrics.count("peers.sent_bytes", len(data))
        return True

    def _find_push(self, address):
        push = self._push_by_address.get(address)
        if push is None:
            push = self._context.socket(zmq.PUSH)
            push.set(zmq.SNDHWM, HIGH_WATER_MARK)
            push.set(zmq.LINGER, 0)
            # Without this, a peer that is not there is queued for, and gets
            # a flood of old messages when it comes.
            push.set(zmq.IMMEDIATE, 1)
            push.set(zmq.RECONNECT_IVL, RECONNECT_MS)
            push.set(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
            push.set(zmq.HEARTBEAT_IVL, HEARTBEAT_MS)
            push.set(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_MS)
            push.set(zmq.HEARTBEAT_TTL, RECEIVER_PATIENCE_MS)
            push.connect(f"tcp://{address}")
            self._push_by_address[address] = push
        return push

    def close_others(self, addresses):
        """Close the connections to all but some addresses.

        Args:
          addresses: A set of str to keep.
        """
        for address in set(self._push_by_address) - addresses:
            self._push_by_address.pop(address).close()

    def _read_soon(self):
        if not self._is_reading:
            self._is_reading = True
            self._reactor.callLater(0, self._read_now)

    def _read_now(self):
        self._is_reading = False
        self.doRead()

    def fileno(self):
        """The descriptor that tells of events; asked for by the reactor."""
        return self._pull.get(zmq.FD)

    def logPrefix(self):
        """A name for the reactor's log."""
        return "bus"

    def connectionLost(self, reason):
        """Nothing to do: zmq keeps its own connections."""

    def doRead(self):
        """Take what has arrived, a bounded number of messages at once."""
        for _ in range(MAX_RECEIVED_AT_ONCE):
            try:
                data = self._pull.recv(zmq.NOBLOCK)
            except zmq.Again:
                return
            self._receive(data)
        self._read_soon()

    def _receive(self, data):
        self._metrics.count("peers.received")
        self._metrics.count("peers.received_bytes", len(data))
        try:
            frame = self._frames.decode(data)
            if frame.target and frame.target != self.member_id:
                self._metrics.count("peers.for_earlier_life")
                return
            message = self._codec.decode(frame.body)
        except codec.CodecError as error:
            self._metrics.count("peers.undecodable")
            logs.log("peer-message-undecodable", reason=str(error))
            return
        self._take(frame.sender, frame.address, message)

    def close(self):
        """Close every socket."""
        self._reactor.removeReader(self)
        self._pull.close()
        for push in self._push_by_address.values():
            push.close()
        self._context.term()
