"""Configurations that can't be used raise the declared errors of the decoder."""

import unittest

import msgspec

from thornport.platform import config

ROUTE = {
    "name": "press",
    "host": "h.example",
    "path_prefix": "/press/",
    "service": "press-desk",
    "priority": 1,
    "max_attempts": 3,
    "stretch": 2.0,
    "target_latency_ms": 1000,
    "advice": {"decide_ms": 20, "each_ms": 0.5, "valid_ms": 3000},
}
LIMIT = {"cpu": 16_000, "mem_mb": 0, "gpu": 2}
TENANT = {"name": "press", "api_keys": ["k"], "weight": 28, "max_items": LIMIT}
CONFIG = {
    "version": 7,
    "routes": [ROUTE],
    "services": [{"name": "press-desk", "rejects_overload": True}],
    "limits": {"max_body_bytes": 1000},
    "tenants": [TENANT],
}


def write(number):
    """Return an int, which the encoder might not take, as raw JSON."""
    return msgspec.Raw(str(number).encode())


class DeepConfigurations(unittest.TestCase):
    """A deeply nested value raises a declared error, wherever it stands."""

    # Guards against a RecursionError that ends the following of the configuration.
    def test_each_is_rejected(self):
        deep = b"[" * 100_000
        for value in (
            deep,
            b'{"version":' + deep,
            b'{"version":1,"more":' + deep,
            b'{"version":1,"routes":[{"name":' + deep,
            b'{"version":1,"tenants":[' + deep,
        ):
            with self.subTest(value=value[:40]), self.assertRaises(msgspec.DecodeError):
                config.decode_config(value)


class OddNumbers(unittest.TestCase):
    """A number that records of jobs can't hold raises an error that names its place."""

    def check_rejected(self, place, wire):
        """Check that a configuration is rejected at a place, a str."""
        with (
            self.subTest(place=place),
            self.assertRaisesRegex(msgspec.DecodeError, place),
        ):
            config.decode_config(msgspec.json.encode(wire))

    # Guards against an OverflowError when the record of an accepted job is encoded.
    def test_integers_beyond_64_bits_are_rejected(self):
        for number in (10**20, -(10**20), 10**400):
            for name in ("priority", "max_attempts", "target_latency_ms"):
                routes = [ROUTE | {name: write(number)}]
                self.check_rejected(name, CONFIG | {"routes": routes})
            advice = ROUTE["advice"] | {"valid_ms": write(number)}
            routes = [ROUTE | {"advice": advice}]
            self.check_rejected("valid_ms", CONFIG | {"routes": routes})
            self.check_rejected("version", CONFIG | {"version": write(number)})
            limits = {"max_body_bytes": write(number)}
            self.check_rejected("max_body_bytes", CONFIG | {"limits": limits})

    # Guards against an OverflowError when the objective of a job is computed.
    def test_floats_that_make_times_infinite_are_rejected(self):
        for number in (1e300, -1e300):
            routes = [ROUTE | {"stretch": number}]
            self.check_rejected("stretch", CONFIG | {"routes": routes})
            for name in ("decide_ms", "each_ms"):
                routes = [ROUTE | {"advice": ROUTE["advice"] | {name: number}}]
                self.check_rejected(name, CONFIG | {"routes": routes})

    def test_usual_numbers_are_accepted(self):
        decoded = config.decode_config(msgspec.json.encode(CONFIG))
        self.assertEqual(decoded.queues[0].stretch, 2.0)
        self.assertEqual(decoded.workspaces.bad, ())


if __name__ == "__main__":
    unittest.main()
