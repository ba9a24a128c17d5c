"""Answers to callers of the platform that are denied access."""

import unittest

from tests import deniedcase
from thornport.jobs import queue
from thornport.platform import ingress

QUEUE = queue.Queue("press", "press.example", "/press/")


class Denied(deniedcase.Denied, unittest.TestCase):
    """A caller of the platform's interface."""

    def ask(self, denial):
        """Submit a job; returns the answered request."""
        daemon = self.make_daemon(denial)
        daemon.configuring.find_queue.return_value = QUEUE
        request = self.make_request(ingress.KEY_HEADER, b"no-key")
        request.method = b"POST"
        request.path = b"/press/" + b"0" * ingress.ID_DIGITS
        request.requestHeaders.setRawHeaders("Host", [b"press.example"])
        self.take(ingress.make_app(daemon), daemon, QUEUE, "take", request)
        return request

    def test_unknown_key_is_refused_without_an_authentication_scheme(self):
        self.check_unknown(None)


if __name__ == "__main__":
    unittest.main()
