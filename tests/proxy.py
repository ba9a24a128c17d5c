"""A fault-injecting TCP proxy as a process, over Twisted's port forwarding.

`POST /faults` with JSON sets: `cut` (end all connections, refuse new ones),
`delay_ms` (each way), `freeze` (hold all bytes, keep connections open),
`one_way` (hold the bytes of answers alone),
`mute` (drop all bytes of the connections open now, for good; new ones work),
`truncate` (end the connection after so many bytes of an answer),
`bytes_per_s` (pass the bytes of each connection's answers on at this rate).
`GET /passed` tells how many bytes of answers were passed on so far.
"""

import collections

import klein
import msgspec
from twisted.internet import reactor
from twisted.protocols import portforward

from standins import serve

PIECE_BYTES = 8192  # of what is passed on at a rate


class Options(msgspec.Struct):
    """Options of the command line."""

    target: str = "127.0.0.1:0"
    port: int = 0


class Faults(msgspec.Struct):
    """What goes wrong from now on."""

    cut: bool = False
    delay_ms: int = 0
    freeze: bool = False
    one_way: bool = False
    mute: bool = False
    truncate: int = 0
    bytes_per_s: int = 0


class State:
    """The faults in force, the connections and the bytes held back."""

    def __init__(self):
        self.faults = Faults()
        self.sides = set()
        self.held = []
        self.passed = 0

    def set_faults(self, faults):
        """Put faults in force, and let held bytes go if nothing is frozen."""
        self.faults = faults
        if faults.cut:
            for side in list(self.sides):
                side.transport.abortConnection()
        if faults.mute:
            for side in self.sides:
                side.is_muted = True
        if not faults.freeze and not faults.one_way:
            held, self.held = self.held, []
            for side, data in held:
                side.pass_on(data)


STATE = State()


class Side:
    """What both sides of a forwarded connection do with bytes."""

    is_muted = False

    def connectionMade(self):
        """Keep track of the side."""
        STATE.sides.add(self)
        self.passed = 0
        self.idle_at = 0.0  # when what was passed on at a rate is all through
        self.slow = collections.deque()
        super().connectionMade()

    def connectionLost(self, reason):
        """Forget the side."""
        STATE.sides.discard(self)
        super().connectionLost(reason)

    def dataReceived(self, data):
        """Pass bytes on as the faults have it."""
        faults = STATE.faults
        if self.is_muted:
            return
        if faults.freeze or (faults.one_way and self.is_answering):
            STATE.held.append((self, data))
        elif faults.delay_ms:
            reactor.callLater(faults.delay_ms / 1000, self.pass_on, data)
        elif self.is_answering and (faults.bytes_per_s or self.idle_at):
            self.pass_on_slowly(data, faults.bytes_per_s)
        else:
            self.pass_on(data)

    def pass_on_slowly(self, data, bytes_per_s):
        """Pass bytes on piece by piece, behind those that came before."""
        self.idle_at = max(self.idle_at, reactor.seconds())
        for start in range(0, len(data), PIECE_BYTES):
            piece = data[start : start + PIECE_BYTES]
            self.idle_at += len(piece) / bytes_per_s if bytes_per_s else 0.0
            # Timers for times a few microseconds apart may fire the other way round.
            self.slow.append(piece)
            delay_s = max(0.0, self.idle_at - reactor.seconds())
            reactor.callLater(delay_s, self.pass_on_next)

    def pass_on_next(self):
        """Pass on the piece whose turn it is."""
        self.pass_on(self.slow.popleft())

    def pass_on(self, data):
        """Pass bytes on to the other side, if it is still there."""
        if self.peer is None:
            return
        limit = STATE.faults.truncate
        if limit and self.is_answering:
            data = data[: max(0, limit - self.passed)]
        self.passed += len(data)
        if self.is_answering:
            STATE.passed += len(data)
        self.peer.transport.write(data)
        if limit and self.is_answering and self.passed >= limit:
            self.peer.transport.loseConnection()


class Client(Side, portforward.ProxyClient):
    """The side towards the target; what it receives are answers."""

    is_answering = True


class ClientFactory(portforward.ProxyClientFactory):
    """Makes the side towards the target."""

    protocol = Client


class Server(Side, portforward.ProxyServer):
    """The side towards the caller."""

    clientProtocolFactory = ClientFactory
    is_answering = False

    def connectionMade(self):
        """Refuse while cut."""
        if STATE.faults.cut:
            self.transport.abortConnection()
            return
        super().connectionMade()


class Factory(portforward.ProxyFactory):
    """Accepts callers."""

    protocol = Server


def make_control(factory):
    """Make the control interface."""
    app = klein.Klein()

    @app.route("/target", methods=["POST"])
    def set_target(request):
        host, port = request.content.read().decode().split(":")
        factory.host, factory.port = host, int(port)
        return b"ok"

    @app.route("/passed", methods=["GET"])
    def read_passed(request):
        return str(STATE.passed).encode()

    @app.route("/faults", methods=["POST"])
    def set_faults(request):
        STATE.set_faults(msgspec.json.decode(request.content.read(), type=Faults))
        return b"ok"

    return app


def main():
    """Run as a process; prints the proxy's address and that of its control."""
    options = serve.read_options(Options)
    host, port = options.target.split(":")
    factory = Factory(host, int(port))
    bound = reactor.listenTCP(options.port, factory, interface=serve.HOST)
    control = serve.listen(make_control(factory))
    proxied = f"{serve.HOST}:{bound.getHost().port}"
    print(f"event=listening http={proxied} peer={control}", flush=True)
    reactor.run()


if __name__ == "__main__":
    main()
