"""Workspaces through real scheduler processes: their keys, limits and jobs.

Without them, anybody who reached a queue was served: a key that no configuration held,
or one that was taken away, had its jobs run, and one workspace could take all workers.
"""

import unittest

from tests import harness, schedulers

PRESS_KEY = "press-key-1"
PHOTO_KEY = "photo-key-1"


class WorkspaceCase(unittest.TestCase):
    """Two schedulers and two workspaces."""

    has_proxies = False
    workers = 3

    def setUp(self):
        self.cell = schedulers.Schedulers(
            2, workers=self.workers, has_proxies=self.has_proxies
        )
        self.addCleanup(self.cell.close)
        self.owner = self.cell.find_owner()
        self.other = next(name for name in self.cell.names if name != self.owner)
        self.press = schedulers.make_workspace("press", PRESS_KEY, cores=12)
        self.photo = schedulers.make_workspace("photo", PHOTO_KEY)
        self.put(2, self.press, self.photo)

    def put(self, version, *workspaces):
        """Put a version in force at every process that the store answers."""
        self.cell.put_config(schedulers.make_config(version, *workspaces))
        for name in self.cell.names:
            process = self.cell.by_name[name]
            process.wait_for(rf"event=config-in-force version={version} ")

    def ask(self, method, name, job_id, key):
        """Call for a job; the status."""
        return self.cell.send(method, name, f"/editions/{job_id}", key=key).status


class Keys(WorkspaceCase):
    """Who is let in."""

    def test_key_that_no_configuration_holds_lets_nobody_in(self):
        for key in (None, "unknown", PRESS_KEY + "x", PRESS_KEY[:-1]):
            job_id, status = self.cell.submit(self.other, key=key)
            self.assertEqual(status, 401, key)
            self.assertEqual(self.ask("GET", self.other, job_id, PRESS_KEY), 410)
        answer = self.cell.send("GET", self.other, "/editions/", key="unknown")
        self.assertEqual(answer.status, 401)
        self.assertEqual(self.cell.read_seen()["starts"], [])

    def test_key_that_was_taken_away_is_refused_on_open_connections_too(self):
        job_id, status = self.cell.submit(self.other, key=PRESS_KEY)
        self.assertEqual(status, 200)
        self.put(3, schedulers.make_workspace("press", "press-key-2"), self.photo)
        for name in self.cell.names:
            for method in ("GET", "DELETE"):
                self.assertEqual(self.ask(method, name, job_id, PRESS_KEY), 401)
            self.assertEqual(self.cell.submit(name, key=PRESS_KEY)[1], 401)
        # The job is the workspace's, whose other key shows it.
        self.cell.wait_state(self.other, job_id, "succeeded", key="press-key-2")
        # The same ID again is the same job, whichever key it comes with.
        again = self.cell.submit(self.owner, job_id=job_id, key="press-key-2")
        self.assertEqual(again, (job_id, 200))

    def test_job_of_another_workspace_is_as_one_that_is_not_there(self):
        job_id, _ = self.cell.submit(self.other, key=PRESS_KEY)
        self.cell.wait_state(self.other, job_id, "succeeded", key=PRESS_KEY)
        for name in self.cell.names:
            for method in ("GET", "DELETE"):
                self.assertEqual(self.ask(method, name, job_id, PHOTO_KEY), 410)
            status = self.cell.submit(name, job_id=job_id, key=PHOTO_KEY)[1]
            self.assertEqual(status, 409)

    # Guards against a key whose DELETE of an unknown ID bars another workspace's job.
    def test_cancel_of_an_unknown_job_bars_the_jobs_of_its_workspace_alone(self):
        job_id = next(self.cell.ids)
        self.assertEqual(self.ask("DELETE", self.owner, job_id, PRESS_KEY), 410)
        own = self.cell.submit(self.other, job_id=job_id, key=PRESS_KEY)[1]
        self.assertEqual(own, 409)
        for key in (PRESS_KEY, PHOTO_KEY):
            self.assertEqual(self.ask("GET", self.other, job_id, key), 410)
        status = self.cell.submit(self.other, job_id=job_id, key=PHOTO_KEY)[1]
        self.assertEqual(status, 200)
        self.cell.wait_state(self.owner, job_id, "succeeded", key=PHOTO_KEY)

    def test_public_queue_asks_for_no_key(self):
        config = schedulers.make_config(3, self.press, self.photo)
        config["routes"] = [config["routes"][0] | {"public": True}]
        self.cell.put_config(config)
        for name in self.cell.names:
            self.cell.by_name[name].wait_for(r"event=config-in-force version=3 ")
        job_id, status = self.cell.submit(self.other)
        self.assertEqual(status, 200)
        self.cell.wait_state(self.owner, job_id, "succeeded")

    def test_no_log_holds_a_key(self):
        self.cell.submit(self.other, key=PRESS_KEY)
        self.cell.submit(self.other, key="not-in-force")
        for name in self.cell.names:
            log = self.cell.by_name[name].read_log()
            for key in (PRESS_KEY, PHOTO_KEY, "not-in-force"):
                self.assertNotIn(key, log)


class CutOffKeys(WorkspaceCase):
    """A process that the store turns away while it serves the others."""

    has_proxies = True

    def test_process_without_the_store_learns_of_keys_from_its_peers(self):
        self.cell.set_proxy(f"store-of-{self.other}", cut=True)
        self.cell.by_name[self.other].wait_for(r"event=store-watch-lost")
        self.cell.put_config(
            schedulers.make_config(3, schedulers.make_workspace("press", "press-key-2"))
        )
        self.cell.by_name[self.other].wait_for(r"event=config-in-force version=3 ")
        self.assertEqual(self.cell.submit(self.other, key=PRESS_KEY)[1], 401)
        harness.wait_until(
            lambda: self.cell.submit(self.other, key="press-key-2")[1] == 200,
            "the new key is let in by way of a peer",
        )


class Limits(WorkspaceCase):
    """What a workspace may have running."""

    def test_jobs_of_a_workspace_stay_within_its_limit(self):
        body = schedulers.make_job(count=10, run_ms=300) | {"spec": "press"}
        jobs = [self.cell.submit(self.other, body, key=PRESS_KEY)[0] for _ in range(3)]
        for job_id in jobs:
            self.cell.wait_state(self.other, job_id, "succeeded", key=PRESS_KEY)
        # Three tasks of 4 cores.
        self.assertEqual(self.cell.read_seen()["most_by_text"], {"press": 12_000})

    def test_work_that_waits_for_its_limit_holds_up_nobody(self):
        wide = schedulers.make_job(count=10, run_ms=2000, gang=True) | {"spec": "press"}
        waiting, status = self.cell.submit(self.other, wide, key=PRESS_KEY)
        self.assertEqual(status, 200)
        job_id, _ = self.cell.submit(self.other, key=PHOTO_KEY)
        self.cell.wait_state(self.other, job_id, "succeeded", key=PHOTO_KEY)
        # A gang that could never fit its limit is kept: a version may raise it.
        self.assertEqual(self.cell.read_state(self.other, waiting, PRESS_KEY), "queued")
        self.put(3, schedulers.make_workspace("press", PRESS_KEY, cores=40), self.photo)
        self.cell.wait_state(self.other, waiting, "succeeded", key=PRESS_KEY)

    def test_successor_counts_what_ran_before_it(self):
        body = schedulers.make_job(count=10, run_ms=1500) | {"spec": "press"}
        job_id, _ = self.cell.submit(self.other, body, key=PRESS_KEY)
        self.cell.wait_state(self.other, job_id, "running", key=PRESS_KEY)
        self.cell.by_name[self.owner].kill()
        self.cell.wait_state(self.other, job_id, "succeeded", key=PRESS_KEY)
        self.assertEqual(self.cell.read_seen()["most_by_text"], {"press": 12_000})

    def test_owner_that_is_killed_right_after_a_limit_fell(self):
        body = schedulers.make_job(count=3, run_ms=1500) | {"spec": "before"}
        first, _ = self.cell.submit(self.other, body, key=PRESS_KEY)
        self.cell.wait_state(self.other, first, "running", key=PRESS_KEY)
        self.put(3, schedulers.make_workspace("press", PRESS_KEY, cores=4), self.photo)
        self.cell.by_name[self.owner].kill()
        later = schedulers.make_job(count=4, run_ms=200) | {"spec": "later"}
        second, status = self.cell.submit(self.other, later, key=PRESS_KEY)
        self.assertEqual(status, 200)
        for job_id in (first, second):
            self.cell.wait_state(self.other, job_id, "succeeded", key=PRESS_KEY)
        # One task of 4 cores at a time, and nothing that ran before was stopped.
        most = {"before": 12_000, "later": 4_000}
        self.assertEqual(self.cell.read_seen()["most_by_text"], most)
