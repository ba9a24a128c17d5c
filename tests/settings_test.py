"""Settings under failure, by real processes: accepted means in force, for good."""

import re
import unittest

from tests import harness

DECLARATIONS = """
[tiers/normal]
price = {price}
[workspaces/press]
tiers = normal
[services/press-desk]
slots = 2
"""


class Settings(unittest.TestCase):
    """A cell with two entries; every change is a revision."""

    def setUp(self):
        self.cell = harness.Cell()
        self.addCleanup(self.cell.close)
        self.cell.start_platform()
        self.entries = ["entry-1", "entry-2"]
        for name in self.entries:
            self.cell.start_entry(name)
        self.apply(1)
        self.wait_revision(1)

    def write(self, price):
        path = self.cell.folder / f"price-{price}.ini"
        path.write_text(DECLARATIONS.format(price=price))
        return str(path)

    def run_apply(self, price, *options):
        store = ("--store", self.cell.url("kv"))
        return self.cell.run_command(
            "settings", "apply", self.write(price), *store, *options
        )

    def apply(self, price):
        done = self.run_apply(price)
        self.assertEqual(done.returncode, 0, done.stderr)
        return done.stdout

    def wait_revision(self, revision):
        for name in self.entries:
            url = self.cell.url(name, "/v1/status")
            harness.wait_until(
                lambda u=url: harness.call_json("GET", u)["revision"] == revision,
                f"revision {revision} at {name}",
            )

    def check_never_reverted(self):
        for name in self.entries:
            log = self.cell.by_name[name].read_log()
            seen = [int(n) for n in re.findall(r"in-force revision=(\d+)", log)]
            self.assertEqual(seen, sorted(set(seen)), name)

    def test_answer_lost_is_read_back(self):
        self.cell.set_faults(lose_writes=1)
        self.assertIn("accepted as revision 2", self.apply(2))
        self.wait_revision(2)

    def test_write_lost_is_told_as_unknown_and_may_be_repeated(self):
        self.cell.set_faults(drop_writes=1)
        done = self.run_apply(2)
        self.assertEqual(done.returncode, 3, done.stdout)
        self.assertIn("unknown", done.stderr)
        self.assertIn("accepted as revision 2", self.apply(2))

    def test_racing_edit_is_refused_with_its_branches(self):
        self.apply(2)
        done = self.run_apply(3, "--revision", "1")
        self.assertEqual(done.returncode, 1)
        self.assertIn("the store is at 2", done.stderr)
        self.assertIn("[tiers/normal]", done.stderr)
        self.wait_revision(2)

    def test_stale_reads_never_revert(self):
        self.apply(2)
        self.wait_revision(2)
        self.cell.set_faults(stale_reads=True)
        self.apply_by_store_alone()
        self.cell.set_faults()
        self.wait_revision(3)
        self.check_never_reverted()

    def apply_by_store_alone(self):
        """Edit while reads are stale: the plan is at 2, the write must win."""
        done = self.run_apply(3)
        self.assertEqual(done.returncode, 0, done.stderr)

    def test_restart_in_an_outage_gets_the_newest_from_peers(self):
        self.apply(2)
        self.wait_revision(2)
        self.cell.set_faults(down=True)
        self.cell.by_name["entry-1"].kill()
        seeds = self.cell.peer_by_name["entry-2"]
        self.cell.start_entry("entry-1", seeds=seeds)
        self.wait_revision(2)
        # With one of two members dead in the outage nobody may lend slots, so
        # the entry is truthfully not ready until the store is back.
        self.cell.set_faults()
        self.cell.wait_ready("entry-1")
        self.apply(3)
        self.wait_revision(3)
        self.check_never_reverted()
