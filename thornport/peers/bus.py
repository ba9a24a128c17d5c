"""Typed one-way messages between processes over ZeroMQ.

Each process binds one PULL socket and connects one PUSH socket to each peer that it
sends to. ZeroMQ hides lost connections, so its state does not show whether a peer is
alive: the callers of the bus have leases and heartbeats of their own, and ZeroMQ's
heartbeats only replace broken connections. Queues are bounded; a message that does
not fit is dropped and counted. Every message may be lost.
"""

import zmq
from twisted.internet import interfaces
from zope.interface import implementer

from thornport.kernel import codec, logs, tasks

HIGH_WATER_MARK = 2000
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
MAX_MESSAGES_PER_READ = 200
# The interval of ZeroMQ heartbeats, and their timeout: a connection that falls silent
# without a reset is replaced within a second. A quarter of a second would cost the
# owner of a large cell hundreds of wake-ups a second.
HEARTBEAT_MS = 500
# The receiver's timeout is longer because only whole messages restart it: the largest
# value of the store, 1.4 MB, takes 6 s over the slowest link. The sender detects a
# silent connection sooner.
RECEIVER_TIMEOUT_MS = 10_000
RECONNECT_MS = 50
RECONNECT_MAX_MS = 1000


class Frame(codec.Message):
    """The envelope of a message.

    Attributes:
      sender: A str, the member id of the sender's incarnation.
      address: A str, `IP:PORT` for answers.
      target: A str, the member id of the receiver; empty for any process
        at the address. A message for an earlier incarnation is dropped.
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
      address: A str, `IP:PORT` advertised to peers.
      bound_address: A str, `IP:PORT` that the receiving socket is bound to.
      member_id: A str, the member id of the current incarnation.
    """

    def __init__(self, reactor, message_codec, metrics):
        """Create the sockets, unbound.

        Args:
          reactor: Twisted's reactor.
          message_codec: A codec.Codec of the messages sent and received.
          metrics: A metrics.Metrics.
        """
        self._reactor = reactor
        self._codec = message_codec
        self._frames = codec.Codec(Frame)
        self._metrics = metrics
        self._context = zmq.Context()
        self._push_by_address = {}
        self._deliver = None
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
          advertised: A str, `IP:PORT` to advertise to peers; empty for the bound one.
        Returns:
          A str, the address advertised to peers.
        """
        bound = self._pull.bind(f"tcp://{ip}:{port or '*'}")
        endpoint = self._pull.get(zmq.LAST_ENDPOINT) if bound is not None else b""
        self.bound_address = endpoint.decode().rstrip("\x00").removeprefix("tcp://")
        self.address = advertised or self.bound_address
        return self.address

    def start(self, member_id, deliver):
        """Start receiving.

        Args:
          member_id: A str, the member id of this incarnation.
          deliver: A callable of sender id, sender address and message, called for each
            message received.
        """
        self.member_id = member_id
        self._deliver = deliver
        self._reactor.addReader(self)
        self._reactor.callLater(0, self.doRead)

    def set_member_id(self, member_id):
        """Continue as another incarnation.

        Args:
          member_id: A str, its member id.
        """
        self.member_id = member_id

    def send(self, address, target, message):
        """Send a message, which may be lost.

        Args:
          address: A str, `IP:PORT`.
          target: A str, a member id, or empty.
          message: A struct.
        Returns:
          A bool, false if the message was dropped because there is no connection
          yet or the queue is full.
        """
        if address == self.address:
            self._reactor.callLater(0, self._deliver, self.member_id, address, message)
            return True
        return self._send_frame(address, self._encode(target, message))

    def send_to_all(self, addresses, message):
        """Encode a message once and send it to every process at some addresses.

        Args:
          addresses: An iterable of str, without this process's own.
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
        """Send an encoded frame, and return whether it was queued."""
        try:
            self._get_push(address).send(data, zmq.NOBLOCK)
        except zmq.Again:
            self._metrics.count("peers.dropped")
            return False
        except zmq.ZMQError as error:
            # Addresses come from the store and from peers.
            self._metrics.count("peers.dropped")
            logs.log("peer-address-odd", address=address, reason=str(error))
            return False
        self._metrics.count("peers.sent")
        self._metrics.count("peers.sent_bytes", len(data))
        return True

    def _get_push(self, address):
        push = self._push_by_address.get(address)
        if push is None:
            push = self._context.socket(zmq.PUSH)
            push.set(zmq.SNDHWM, HIGH_WATER_MARK)
            push.set(zmq.LINGER, 0)
            # Without IMMEDIATE, messages to an absent peer are queued, and it receives
            # a flood of old messages when it connects.
            push.set(zmq.IMMEDIATE, 1)
            push.set(zmq.RECONNECT_IVL, RECONNECT_MS)
            push.set(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
            push.set(zmq.HEARTBEAT_IVL, HEARTBEAT_MS)
            push.set(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_MS)
            push.set(zmq.HEARTBEAT_TTL, RECEIVER_TIMEOUT_MS)
            try:
                push.connect(f"tcp://{address}")
            except zmq.ZMQError:
                push.close()
                raise
            self._push_by_address[address] = push
        return push

    def close_others(self, addresses):
        """Close the connections to all other addresses.

        Args:
          addresses: A set of str, the addresses whose connections stay open.
        """
        for address in set(self._push_by_address) - addresses:
            self._push_by_address.pop(address).close()

    def _schedule_read(self):
        if not self._is_reading:
            self._is_reading = True
            self._reactor.callLater(0, self._read_now)

    def _read_now(self):
        self._is_reading = False
        self.doRead()

    def fileno(self):
        """Return the descriptor on which the reactor waits for ZeroMQ events."""
        return self._pull.get(zmq.FD)

    def logPrefix(self):
        """Return the name in the reactor's log."""
        return "bus"

    def connectionLost(self, reason):
        """Do nothing, since ZeroMQ manages its own connections."""

    def doRead(self):
        """Receive a bounded number of messages, and schedule a read for the rest."""
        for _ in range(MAX_MESSAGES_PER_READ):
            try:
                data = self._pull.recv(zmq.NOBLOCK)
            except zmq.Again:
                return
            self._receive(data)
        self._schedule_read()

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
        # An error would have the reactor read from the socket no more.
        tasks.attempt(
            lambda: self._deliver(frame.sender, frame.address, message),
            f"take {type(message).__name__}",
        )

    def close(self):
        """Close all sockets."""
        self._reactor.removeReader(self)
        self._pull.close()
        for push in self._push_by_address.values():
            push.close()
        self._context.term()
