"""Serving a klein app on a port bound by the kernel, for every stand-in."""

import signal
import sys

import msgspec
from twisted.internet import reactor
from twisted.protocols import policies
from twisted.web import server

HOST = "127.0.0.1"


class BreakableSite(policies.WrappingFactory):
    """Serves a klein app on connections that can be broken off as by a crash."""

    def __init__(self, app):
        """Take what is served.

        Args:
          app: A klein.Klein.
        """
        super().__init__(server.Site(app.resource(), timeout=None))

    def break_off(self):
        """Break off all connections."""
        for connection in list(self.protocols):
            connection.transport.abortConnection()


def listen(app, port=0):
    """Serve a klein app.

    Args:
      app: A klein.Klein.
      port: An int; 0 lets the kernel choose.
    Returns:
      A str, `IP:PORT`.
    """
    return listen_site(server.Site(app.resource(), timeout=None), port)


def listen_site(site, port=0):
    """Serve a site; a str, `IP:PORT`."""
    bound = reactor.listenTCP(port, site, interface=HOST, backlog=1024)
    return f"{HOST}:{bound.getHost().port}"


def run(app, port=0):
    """Serve a klein app as a process, printing its address first.

    Args:
      app: A klein.Klein.
      port: An int; 0 lets the kernel choose.
    """
    address = listen(app, port)
    print(f"event=listening http={address}", flush=True)
    reactor.run()


def reply(request, status, body):
    """Answer with JSON.

    Args:
      request: A twisted request.
      status: An int.
      body: What msgspec can encode.
    Returns:
      Bytes.
    """
    request.setResponseCode(status)
    request.setHeader("Content-Type", "application/json")
    return msgspec.json.encode(body)


def read_options(option_type):
    """Read `key=value` arguments of a stand-in's command line.

    Args:
      option_type: A msgspec struct type with a default for each field.
    Returns:
      A struct of that type.
    """
    pairs = dict(argument.split("=", 1) for argument in sys.argv[1:])
    return msgspec.convert(pairs, option_type, strict=False)


def on_term(action):
    """Call an action when the process is told to stop.

    Args:
      action: A callable of no arguments, called in the reactor.
    """
    signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(action))
