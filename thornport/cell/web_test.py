"""Tests of the answers to denied callers of the project's own interface."""

import io
import unittest

import klein
import msgspec

from tests import deniedcase
from thornport.cell import web
from thornport.jobs import queue, spec

QUEUE = queue.Queue("press")
JOB = spec.Job("text", (spec.Step(1, spec.Demand(1, 1)),))


class Denied(deniedcase.Denied, unittest.TestCase):
    """A denied caller of the project's own interface."""

    def ask(self, denial):
        """Submit a job; return the request that was answered."""
        daemon = self.make_daemon(denial)
        daemon.config.queues = (QUEUE,)
        app = klein.Klein()
        web.add_routes(app, daemon)
        request = self.make_request("Authorization", b"Bearer no-key")
        request.content = io.BytesIO(msgspec.json.encode(JOB))
        self.take(app, daemon, QUEUE, "submit", request, "press", "a")
        return request

    def test_unknown_key_is_refused_with_the_scheme_to_use(self):
        self.check_unknown(["Bearer"])


if __name__ == "__main__":
    unittest.main()
