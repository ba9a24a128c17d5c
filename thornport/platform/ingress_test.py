"""Answers to callers of the platform that are denied access."""

import unittest
from unittest import mock

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


class Deadlines(unittest.TestCase):
    """The header with the time that a caller waits."""

    def read(self, text):
        """Read the deadline of a request that arrives at 5 s."""
        request = mock.Mock()
        request.getHeader.return_value = text
        return ingress.read_deadline(request, 5.0)

    def test_deadline_in_milliseconds(self):
        self.assertEqual(self.read("2500"), 7.5)
        self.assertEqual(self.read("0"), 5.0)
        self.assertEqual(self.read(None), 8.0)

    # Guards against an internal error in place of an answer.
    def test_odd_deadline_is_the_usual_one(self):
        for text in (
            "",
            "-1",
            "1.5",
            "soon",
            "\u00b2",
            "\u0663",
            "9" * 400,
            "9" * 5000,
        ):
            with self.subTest(text=text[:9]):
                self.assertEqual(self.read(text), 8.0)


if __name__ == "__main__":
    unittest.main()
