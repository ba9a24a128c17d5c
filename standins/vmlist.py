"""A stand-in for the lagging list of live and leaving VMs.

It serves the published format of Prometheus' HTTP service discovery: a list
of groups, each with `targets` and `labels`. `PUT /vms` replaces the list;
readers see it `lag_ms` later.
"""

import klein
import msgspec
from twisted.internet import reactor

from standins import serve


class Options(msgspec.Struct):
    """Options of the command line."""

    lag_ms: int = 0


class VmList:
    """What readers see, and what they will see after the lag."""

    def __init__(self, lag_ms=0):
        self.lag_ms = lag_ms
        self.seen = b"[]"

    def replace(self, body):
        """Show a new list after the lag."""
        reactor.callLater(self.lag_ms / 1000, self.show, body)

    def show(self, body):
        """Show a list now."""
        self.seen = body


def make_app(vms):
    """Make the HTTP interface.

    Args:
      vms: A VmList.
    Returns:
      A klein.Klein.
    """
    app = klein.Klein()

    @app.route("/vms", methods=["GET"])
    def read(request):
        request.setHeader("Content-Type", "application/json")
        return vms.seen

    @app.route("/vms", methods=["PUT"])
    def write(request):
        vms.replace(request.content.read())
        return b"ok"

    return app


if __name__ == "__main__":
    serve.run(make_app(VmList(serve.read_options(Options).lag_ms)))
