"""Tests the limit of idle connections to a backend server."""

import unittest

from thornport.entry import dispatch
from thornport.settings import schema


class IdleConnections(unittest.TestCase):
    """Services with different limits that share one pool."""

    def test_service_with_fewest_connections_sets_the_limit_in_any_order(self):
        wide = schema.Service(slots=8, connections=64)
        narrow = schema.Service(slots=8, connections=16)
        for services in ([wide, narrow], [narrow, wide]):
            self.assertEqual(dispatch.compute_idle_connections(services, 4), 2)

    def test_limit_is_at_least_one(self):
        service = schema.Service(slots=8, connections=8)
        self.assertEqual(dispatch.compute_idle_connections([service], 0), 1)


if __name__ == "__main__":
    unittest.main()
