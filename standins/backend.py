"""A stand-in for a backend server: slots, connections, and a count of runs.

It runs each request for `run_ms` and answers with the caller's own body, so
that a caller can tell whose answer it got. Told to stop, it refuses new
requests with `Thornport-Refused: leaving`, finishes what runs, and exits.
"""

import collections

import klein
import msgspec
from twisted.internet import reactor, task

from standins import serve

HTTP_UNAVAILABLE = 503


class Options(msgspec.Struct):
    """Options of the command line."""

    port: int = 0
    run_ms: float = 5.0
    slots: int = 8


class Backend:
    """What runs, how often each key ran, and how often slots were exceeded."""

    def __init__(self, run_ms=5.0, slots=8):
        self.run_ms = run_ms
        self.slots = slots
        self.running = 0
        self.most_running = 0
        self.over_limit = 0
        self.leaving = False
        self.served = 0
        self.runs_by_key = collections.Counter()

    def start(self, key):
        """Count the start of one request."""
        self.running += 1
        self.served += 1
        self.most_running = max(self.most_running, self.running)
        if self.running > self.slots:
            self.over_limit += 1
        if key:
            self.runs_by_key[key] += 1

    def stop(self):
        """Leave: refuse what is new, exit once nothing runs."""
        self.leaving = True
        task.LoopingCall(self.exit_when_idle).start(0.02)

    def exit_when_idle(self):
        """Exit if nothing runs."""
        if not self.running:
            reactor.callLater(0.05, reactor.stop)


def make_app(backend):
    """Make the HTTP interface.

    Args:
      backend: A Backend.
    Returns:
      A klein.Klein.
    """
    app = klein.Klein()

    @app.route("/health", methods=["GET"])
    def health(request):
        if backend.leaving:
            request.setResponseCode(HTTP_UNAVAILABLE)
        return b"leaving" if backend.leaving else b"ok"

    @app.route("/counts", methods=["GET"])
    def counts(request):
        return msgspec.json.encode(
            {
                "running": backend.running,
                "most_running": backend.most_running,
                "over_limit": backend.over_limit,
                "served": backend.served,
                "runs_by_key": dict(backend.runs_by_key),
            }
        )

    @app.route("/set", methods=["POST"])
    def change(request):
        for name, value in msgspec.json.decode(request.content.read()).items():
            setattr(backend, name, value)
        return b"ok"

    @app.route("/", branch=True, methods=["POST"])
    async def serve_request(request):
        if backend.leaving:
            request.setResponseCode(HTTP_UNAVAILABLE)
            request.setHeader("Thornport-Refused", "leaving")
            return b""
        backend.start(request.getHeader("Thornport-Request-Id"))
        body = request.content.read()
        # So that the load tool can be pointed here, without an entry.
        request.setHeader("Thornport-Outcome", "answered")
        try:
            await task.deferLater(reactor, backend.run_ms / 1000)
        finally:
            backend.running -= 1
        return body

    return app


def main():
    """Run as a process."""
    options = serve.read_options(Options)
    backend = Backend(options.run_ms, options.slots)
    reactor.callWhenRunning(serve.on_term, backend.stop)
    serve.run(make_app(backend), options.port)


if __name__ == "__main__":
    main()
