"""Tests when an entry considers itself cut off."""

import unittest

from thornport.entry import contact

NOW = 100.0


class Contact(unittest.TestCase):
    """An entry that is in the ring and then no longer is."""

    def test_is_lost_before_the_first_contact(self):
        self.assertTrue(contact.Contact().is_lost(NOW))

    def test_is_lost_a_fixed_time_after_the_last_contact(self):
        link = contact.Contact()
        link.note(NOW)
        self.assertFalse(link.is_lost(NOW))
        self.assertFalse(link.is_lost(NOW + contact.CUT_OFF_S - 0.01))
        self.assertTrue(link.is_lost(NOW + contact.CUT_OFF_S))
        link.note(NOW + contact.CUT_OFF_S)
        self.assertFalse(link.is_lost(NOW + contact.CUT_OFF_S))


if __name__ == "__main__":
    unittest.main()
