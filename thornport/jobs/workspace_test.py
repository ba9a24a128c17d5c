"""Lookup of workspaces by key, and which jobs a caller may see."""

import unittest

from thornport.jobs import queue, record, spec, workspace

QUEUE = queue.Queue("press")


def make_record(name, of_queue=QUEUE):
    """Make the record of a job of a workspace."""
    return record.JobRecord("a", of_queue, spec.Job(), 0, workspace=name)


class Keys(unittest.TestCase):
    """Which workspace a key identifies."""

    def setUp(self):
        self.workspaces = workspace.Workspaces(
            [
                workspace.Workspace("press", ("k1", "k2", "shared")),
                workspace.Workspace("photo", ("k3", "shared")),
                workspace.Workspace("photo", ("k4",)),
                workspace.Workspace("archive"),
            ]
        )

    def find(self, key):
        """Return the name of the workspace of a key, or None."""
        found = self.workspaces.find_by_key(key)
        return found.name if found is not None else None

    def test_each_key_of_a_workspace_identifies_it(self):
        names = [self.find(key) for key in (b"k1", b"k2", b"k3")]
        self.assertEqual(names, ["press", "press", "photo"])

    def test_similar_keys_are_rejected(self):
        for key in (b"", b"k", b"k11", b"K1", b"k1\xff", b"\x00"):
            self.assertIsNone(self.find(key), key)

    def test_key_of_two_workspaces_is_rejected_and_reported_without_the_key(self):
        self.assertIsNone(self.find(b"shared"))
        self.assertIsNone(self.find(b"k4"))
        places = [bad.place for bad in self.workspaces.bad]
        self.assertEqual(places, ["photo", "photo"])
        self.assertNotIn("shared", str(self.workspaces.bad))

    def test_workspace_without_keys_is_known_by_name(self):
        self.assertIn("archive", self.workspaces.by_name)


class Visibility(unittest.TestCase):
    """Which jobs each kind of caller may see."""

    def test_workspace_sees_its_own_jobs_and_those_without_a_workspace(self):
        caller = workspace.Caller("press")
        self.assertTrue(caller.may_see(make_record("press")))
        self.assertTrue(caller.may_see(make_record("")))
        self.assertFalse(caller.may_see(make_record("photo")))

    def test_caller_of_a_public_queue_sees_the_jobs_of_that_queue(self):
        caller = workspace.Caller(queue="press")
        self.assertTrue(caller.may_see(make_record("photo")))
        elsewhere = make_record("photo", queue.Queue("other"))
        self.assertFalse(caller.may_see(elsewhere))

    def test_operator_sees_every_job(self):
        self.assertTrue(workspace.OPERATOR.may_see(make_record("photo")))

    def test_job_that_is_over_keeps_its_workspace(self):
        closed = record.close_job(make_record("press"), record.JobState.SUCCEEDED)
        decoded = record.decode_job(record.encode_record(closed))
        self.assertEqual(decoded.workspace, "press")


if __name__ == "__main__":
    unittest.main()
