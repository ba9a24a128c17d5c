"""Tests that peers stay listed over a change of owner and expire when they are gone."""

import unittest

from thornport.cell.peers import peerlist


class PeerList(unittest.TestCase):
    """Tests the lists of two owners, one after the other."""

    def setUp(self):
        self.peers = peerlist.PeerList()
        self.peers.take({"a", "b", "c"}, 10.0)

    def test_incomplete_list_of_a_new_owner_drops_no_peer(self):
        self.peers.take({"a"}, 10.5)
        self.assertEqual(self.peers.addresses, {"a", "b", "c"})

    def test_peer_that_is_no_longer_listed_expires(self):
        self.peers.take({"a", "b"}, 11.0)
        self.peers.take({"a", "b"}, 10.0 + peerlist.ENTRY_TTL_S)
        self.assertEqual(self.peers.addresses, {"a", "b"})


if __name__ == "__main__":
    unittest.main()
