"""How many idle connections an entry keeps to a backend server."""

import unittest

from thornport.entry import dispatch
from thornport.settings import schema


class IdleConnections(unittest.TestCase):
    """Services of unlike size over one pool."""

    def test_service_that_takes_the_fewest_decides_in_any_order(self):
        wide = schema.Service(slots=8, connections=64)
        narrow = schema.Service(slots=8, connections=16)
        for services in ([wide, narrow], [narrow, wide]):
            self.assertEqual(dispatch.compute_idle_connections(services, 4), 2)

    def test_one_is_kept_however_many_share(self):
        service = schema.Service(slots=8, connections=8)
        self.assertEqual(dispatch.compute_idle_connections([service], 0), 1)


if __name__ == "__main__":
    unittest.main()
