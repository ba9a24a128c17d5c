"""Workers that crash, change their room or are no workers, and real processes.

The pure core is proved against the same in `cell.decisions.crashes_test` and
`learning_test`; here the watch of the store, the calls and the records carry it.
"""

import base64

from tests import harness, scheduler_test, schedulers
from thornport.jobs import record

MOST_CRASHES = 5  # starts of a task that crashes its workers, by the users
LONG_MS = 60_000


def make_crashing_job():
    """Make the body of a job of which a task crashes the worker that starts it."""
    step = {"count": 1, "cpu": 4000, "mem_mb": 100, "est_runtime_ms": 200}
    return {"spec": "crash", "steps": [step]}


class CrashingTasks(scheduler_test.SchedulerCase):
    """A task that crashes each worker that starts it is given up."""

    def check_given_up(self, job_id):
        """The job is shown as failed by every process, after few crashes."""
        for name in self.cell.names:
            self.cell.wait_state(name, job_id, "failed")
        self.assertLessEqual(self.count_starts(job_id), MOST_CRASHES)
        self.assertGreaterEqual(self.count_starts(job_id), 2)

    def test_job_is_failed_with_its_cause_and_others_go_on(self):
        others = [self.cell.submit(self.other)[0] for _ in range(4)]
        job_id, _ = self.cell.submit(self.other, make_crashing_job())
        self.check_given_up(job_id)
        for other in others:
            self.cell.wait_state(self.other, other, "succeeded")
        ended = rf"event=job-ended job={job_id} state=failed cause=crashes"
        self.cell.by_name[self.owner].wait_for(ended)
        listening = r"event=listening .*metrics=(\S+)"
        address = self.cell.by_name[self.owner].wait_for(listening)[1]
        shown = harness.call_json("GET", f"http://{address}/v1/jobs/{job_id}")
        self.assertEqual(shown["cause"], record.FailureCause.CRASHES.value)

    def test_owner_is_killed_between_the_crashes(self):
        job_id, _ = self.cell.submit(self.other, make_crashing_job())
        self.cell.by_name[self.owner].wait_for(rf"event=run-lost job={job_id}")
        self.cell.by_name[self.owner].kill()
        self.cell.names.remove(self.owner)
        self.check_given_up(job_id)

    def test_store_is_away_between_the_crashes(self):
        job_id, _ = self.cell.submit(self.other, make_crashing_job())
        self.cell.by_name[self.owner].wait_for(rf"event=run-lost job={job_id}")
        self.cell.set_platform_faults(away=True)
        self.cell.by_name[self.other].wait_for(r"event=store-lost")
        self.cell.set_platform_faults()
        self.check_given_up(job_id)


class ChangingRoom(scheduler_test.SchedulerCase):
    """The room of workers shrinks under what runs, and grows again."""

    def change_room(self, cores):
        """Change what the workers have, and wait until the owner knows."""
        url = self.cell.url("platform", f"/room?cores={cores}")
        harness.call("POST", url)
        line = f"millicores={cores * 1000} "
        owner = self.cell.by_name[self.owner]
        harness.wait_until(lambda: owner.read_log().count(line) >= 3, line)

    def test_starts_keep_to_what_is_left(self):
        body = schedulers.make_job(count=3, cpu=20_000, run_ms=LONG_MS, anti_affinity=1)
        long_id, _ = self.cell.submit(self.other, body)
        harness.wait_until(
            lambda: len(self.cell.read_seen()["running"]) == 3, f"{long_id} runs"
        )
        self.change_room(8)
        jobs = [
            self.cell.submit(self.other, schedulers.make_job(count=3, cpu=8000))[0]
            for _ in range(3)
        ]
        self.cell.by_name[self.owner].wait_for(rf"event=step-late job={jobs[0]}")
        self.change_room(64)
        for job_id in jobs:
            self.cell.wait_state(self.other, job_id, "succeeded")
        self.check_promises()


class ForeignEntries(scheduler_test.SchedulerCase):
    """Entries that other writers made cost no worker and no job."""

    def test_garbage_beside_workers(self):
        values = {
            "x": b"\xff\xfe\x00",
            "y": b'{"service":"press-desk","address":"10.0.0.1:80"}',
            "z": b'{"service":' + b"[" * 50_000,
        }
        for name, value in values.items():
            url = self.cell.url("platform", f"/operator/servers/{name}")
            harness.call("PUT", url, base64.b64encode(value))
        owner = self.cell.by_name[self.owner]
        for name in values:
            owner.wait_for(rf"event=worker-entry-undecodable worker={name} ")
        job_id, _ = self.cell.submit(self.other)
        self.cell.wait_state(self.other, job_id, "succeeded")
        # A successor reads all entries anew.
        owner.kill()
        self.cell.names.remove(self.owner)
        job_id, _ = self.cell.submit(self.other)
        self.cell.wait_state(self.other, job_id, "succeeded")
        self.check_promises()


class RestartingWorkers(scheduler_test.SchedulerCase):
    """Workers that start again under their ids or others, at an owner and after it."""

    def restart(self, keeps_id, late_ms=0):
        """Have a worker that runs something start again."""
        query = f"/restart?keeps_id={int(keeps_id)}&late_ms={late_ms}"
        harness.call("POST", self.cell.url("platform", query))

    def submit_all(self, count, run_ms):
        """Hand in some jobs; a list of their IDs."""
        body = schedulers.make_job(run_ms=run_ms)
        return [self.cell.submit(self.other, body)[0] for _ in range(count)]

    def check_succeed(self, job_ids):
        """All jobs end, and nothing ran that must not."""
        for job_id in job_ids:
            self.cell.wait_state(self.other, job_id, "succeeded")
        self.assertEqual(self.check_promises()["after_done"], [])

    def test_what_ran_starts_again_and_ends_are_taken(self):
        self.check_succeed(self.submit_all(6, 100))
        running = self.submit_all(3, 1500)
        self.cell.wait_state(self.other, running[-1], "running")
        for _ in range(3):
            self.restart(keeps_id=True)
        self.check_succeed([*running, *self.submit_all(6, 100)])
        self.cell.by_name[self.owner].wait_for(r"event=worker-over .*how=restarted")

    def test_entries_of_ended_lives_come_late(self):
        for keeps_id in (True, False):
            running = self.submit_all(3, 1500)
            self.cell.wait_state(self.other, running[-1], "running")
            self.restart(keeps_id, late_ms=300)
            self.check_succeed([*running, *self.submit_all(12, 300)])

    def test_owner_is_killed_as_workers_restart(self):
        for keeps_id in (True, False):
            running = self.submit_all(4, 1500)
            self.cell.wait_state(self.other, running[-1], "running")
            self.restart(keeps_id, late_ms=200)
            owner = self.cell.find_owner()
            self.cell.by_name[owner].kill()
            self.cell.start_scheduler(owner)
            self.restart(keeps_id)
            self.check_succeed([*running, *self.submit_all(6, 100)])

    def test_store_is_away_as_workers_restart(self):
        running = self.submit_all(4, 1500)
        self.cell.wait_state(self.other, running[-1], "running")
        self.cell.set_platform_faults(away=True)
        self.restart(keeps_id=True, late_ms=200)
        self.restart(keeps_id=False, late_ms=200)
        harness.wait_until(
            lambda: "how=restarted" in self.cell.by_name[self.owner].read_log(),
            "the owner sees the restart while the store is away",
        )
        self.cell.set_platform_faults()
        self.check_succeed([*running, *self.submit_all(6, 100)])
