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


if __name__ == "__main__":
    unittest.main()
