"""Tests the demand that an entry counts and the effect of new settings."""

import unittest

from thornport.entry import services
from thornport.routing import request as requests
from thornport.settings import compile as compiling
from thornport.settings import inforce, schema

SERVICE = "quotes"


def make_in_force(**declared):
    """Make settings in force with one service, by default with a queue of two."""
    in_force = inforce.InForce()
    service = schema.Service(**({"queue_limit": 2} | declared))
    in_force.config = compiling.Config(
        1, {"normal": schema.Tier(10)}, {}, {SERVICE: service}, {}
    )
    return in_force


def make_request(price, now, patience_s):
    """Make a request that arrives now, with its deadline after `patience_s`."""
    return requests.Request(
        "r",
        SERVICE,
        "press",
        "normal",
        price,
        now,
        now + patience_s,
        False,
        "",
        "text/plain",
        b"",
    )


class Services(unittest.TestCase):
    """An entry with settings for one service."""

    def setUp(self):
        self.in_force = make_in_force()
        self.services = services.Services(self.in_force)

    def test_service_is_created_once_at_its_first_request(self):
        self.assertEqual(self.services.by_name, {})
        found = self.services.find(SERVICE)
        self.assertEqual(found.queue.limit, 2)
        self.assertIs(self.services.find(SERVICE), found)

    def test_demand_is_by_price_and_leaves_out_zero_counts(self):
        found = self.services.find(SERVICE)
        self.assertEqual(self.services.read_demand(), {})
        found.running_by_price[10] += 2
        found.running_by_price[20] += 1
        found.running_by_price[20] -= 1
        self.assertEqual(self.services.read_demand(), {SERVICE: {10: 2}})

    def test_queue_limit_follows_the_settings(self):
        found = self.services.find(SERVICE)
        self.in_force.config = make_in_force(queue_limit=5).config
        self.services.take_settings()
        self.assertEqual(found.queue.limit, 5)
        self.in_force.config.services_by_name.clear()
        self.services.take_settings()
        self.assertEqual(found.queue.limit, 0)


if __name__ == "__main__":
    unittest.main()
