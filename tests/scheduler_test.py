"""Jobs through real scheduler processes, a stand-in platform, and failures."""

import signal
import time
import unittest

import msgspec

from tests import harness, opencaller, schedulers


class SchedulerCase(unittest.TestCase):
    """A cell of three schedulers, with what must always hold checked at the end."""

    has_proxies = False
    workers = 3

    def setUp(self):
        self.cell = schedulers.Schedulers(
            3, workers=self.workers, has_proxies=self.has_proxies
        )
        self.addCleanup(self.cell.close)
        self.owner = self.cell.find_owner()
        self.other = next(name for name in self.cell.names if name != self.owner)

    def check_promises(self):
        """No task ran in two places, no worker was over its room."""
        seen = self.cell.read_seen()
        self.assertEqual(seen["twice"], [])
        self.assertEqual(seen["over_room"], 0)
        self.assertEqual(seen["unknown"], [])
        return seen

    def count_starts(self, job_id):
        """How often tasks of a job were started."""
        starts = self.check_promises()["starts"]
        return sum(name.startswith(job_id) for name, _, _ in starts)


class CalmCell(SchedulerCase):
    """Nothing goes wrong."""

    def test_job_with_a_gang_ends_and_every_process_says_so(self):
        body = schedulers.make_job(count=4, gang=True)
        job_id, status = self.cell.submit(self.other, body)
        self.assertEqual(status, 200)
        for name in self.cell.names:
            self.cell.wait_state(name, job_id, "succeeded")
        self.assertEqual(self.count_starts(job_id), 5)

    def test_same_id_at_two_processes_is_one_job(self):
        job_id, first = self.cell.submit(self.owner)
        _, second = self.cell.submit(self.other, job_id=job_id)
        self.assertEqual((first, second), (200, 200))
        self.cell.wait_state(self.other, job_id, "succeeded")
        self.assertEqual(self.count_starts(job_id), 3)

    def test_cancel_stops_a_job_at_the_workers(self):
        job_id, _ = self.cell.submit(self.other, schedulers.make_job(run_ms=60_000))
        self.cell.wait_state(self.other, job_id, "running")
        answer = self.cell.send("DELETE", self.other, f"/editions/{job_id}")
        self.assertEqual(answer.status, 200)
        for name in self.cell.names:
            self.cell.wait_state(name, job_id, "cancelled")

    def test_bad_input_gets_a_clear_answer(self):
        path = f"/editions/{next(self.cell.ids)}"
        circle = {"spec": "x", "steps": [{"count": 1, "after": [0]}]}
        answer = self.cell.send("POST", self.other, path, circle)
        self.assertEqual(answer.status, 400)
        self.assertIn(b"steps[0].after", answer.data)
        answer = self.cell.send("POST", self.other, path, {"spec": 1, "steps": []})
        self.assertEqual(answer.status, 400)
        self.assertIn(b"spec", answer.data)
        answer = self.cell.send("GET", self.other, "/nothing/here")
        self.assertEqual(answer.status, 404)
        answer = self.cell.send("GET", self.other, f"/editions/{'f' * 16}")
        self.assertEqual(answer.status, 410)

    def test_dropped_route_is_refused_everywhere(self):
        self.cell.put_config(schedulers.make_config(5, routes=[]))
        for name in self.cell.names:
            harness.wait_until(
                lambda n=name: self.cell.submit(n)[1] == 404, f"{name} refuses"
            )
        # An older version that is written later does not come into force.
        self.cell.put_config(schedulers.make_config(4))
        self.cell.put_config(schedulers.make_config(6, routes=[], services=[]))
        self.cell.by_name[self.other].wait_for(r"event=config-in-force version=6")
        self.assertEqual(self.cell.submit(self.other)[1], 404)


class FailingCell(SchedulerCase):
    """Processes die or stop, and the store does not answer."""

    def test_killed_owner_is_replaced_and_nothing_runs_twice(self):
        jobs = [
            self.cell.submit(self.other, schedulers.make_job(run_ms=1500))[0]
            for _ in range(6)
        ]
        self.cell.wait_state(self.other, jobs[0], "running")
        self.cell.by_name[self.owner].kill()
        for job_id in jobs:
            self.cell.wait_state(self.other, job_id, "succeeded")
            self.assertEqual(self.count_starts(job_id), 3)

    def test_silent_owner_is_replaced_by_agreement_of_its_peers(self):
        for name in self.cell.names:
            self.cell.by_name[name].wait_for(r"event=peers-listed count=2")
        # The key of the dead owner stays, so nobody but its peers can tell.
        self.cell.set_platform_faults(keeps_leases=True)
        self.cell.by_name[self.owner].kill()
        self.cell.names.remove(self.owner)
        successor = self.cell.find_owner()
        job_id, _ = self.cell.submit(successor)
        self.cell.wait_state(successor, job_id, "succeeded")

    def test_owner_whose_key_is_taken_back_goes_on_without_a_takeover(self):
        job_id, _ = self.cell.submit(self.other, schedulers.make_job(run_ms=1500))
        self.cell.wait_state(self.other, job_id, "running")
        owner = self.cell.by_name[self.cell.find_holder()]
        before = owner.read_log()
        self.cell.set_platform_faults(revokes=True)
        regained = "event=owner-key-regained"
        harness.wait_until(
            lambda: owner.read_log().count(regained) > before.count(regained),
            "the key got back",
        )
        more, _ = self.cell.submit(self.other)
        for one in (job_id, more):
            self.cell.wait_state(self.other, one, "succeeded")
            self.assertEqual(self.count_starts(one), 3)
        ceased = "event=not-deciding"
        self.assertEqual(owner.read_log().count(ceased), before.count(ceased))

    def test_slow_store_is_written_to_in_several_lanes(self):
        self.cell.set_platform_faults(slow_ms=150)
        jobs = [self.cell.submit(self.other)[0] for _ in range(12)]
        for job_id in jobs:
            self.cell.wait_state(self.other, job_id, "succeeded")
            self.assertEqual(self.count_starts(job_id), 3)
        self.cell.set_platform_faults()

    def test_frozen_owner_wakes_to_a_successor(self):
        job_id, _ = self.cell.submit(self.other, schedulers.make_job(run_ms=2500))
        self.cell.wait_state(self.other, job_id, "running")
        frozen = self.cell.by_name[self.owner]
        frozen.freeze()
        self.cell.names.remove(self.owner)
        self.cell.find_owner()
        more, _ = self.cell.submit(self.other)
        self.cell.wait_state(self.other, more, "succeeded")
        frozen.thaw()
        frozen.wait_for(r"event=not-deciding")
        self.cell.wait_state(self.other, job_id, "succeeded")
        self.assertEqual(self.count_starts(job_id), 3)

    def test_accepted_jobs_outlive_the_death_of_all_processes(self):
        jobs = [self.cell.submit(name)[0] for name in self.cell.names * 3]
        for name in self.cell.names:
            self.cell.by_name[name].kill()
        for name in self.cell.names:
            self.cell.start_scheduler(name)
        for job_id in jobs:
            self.cell.wait_state(self.other, job_id, "succeeded")
            self.assertEqual(self.count_starts(job_id), 3)

    def test_stopped_owner_hands_over_and_ends_by_itself(self):
        job_id, _ = self.cell.submit(self.other, schedulers.make_job(run_ms=2000))
        stopped = self.cell.by_name[self.owner]
        stopped.signal(signal.SIGTERM)
        self.assertEqual(stopped.popen.wait(harness.PATIENCE_S), 0)
        self.cell.names.remove(self.owner)
        self.cell.wait_state(self.other, job_id, "succeeded")
        self.assertEqual(self.count_starts(job_id), 3)

    def test_refused_jobs_never_run_and_unanswered_ones_are_not_refused(self):
        self.cell.set_platform_faults(away=True)
        log = self.cell.by_name[self.other]
        first_id, first = self.cell.submit(self.other)
        # The first write had no answer: it may be kept, and is not refused.
        self.assertEqual(first, 504)
        self.assertEqual(self.cell.submit(self.other, job_id=first_id)[1], 504)
        log.wait_for(r"event=store-lost")
        refused_id = self.wait_refused()
        self.cell.set_platform_faults()
        log.wait_for(r"event=store-regained")
        job_id, _ = self.cell.submit(self.other)
        self.cell.wait_state(self.other, job_id, "succeeded")
        self.assertEqual(self.count_starts(refused_id), 0)

    def wait_refused(self):
        """Hand in jobs until one is refused; returns its ID."""

        def submit():
            job_id, status = self.cell.submit(self.other)
            self.assertIn(status, (503, 504))
            return job_id if status == 503 else None

        return harness.wait_until(submit, "a refusal")

    def test_running_work_outlives_an_outage_of_the_store(self):
        job_id, _ = self.cell.submit(self.other, schedulers.make_job(run_ms=3000))
        self.cell.wait_state(self.other, job_id, "running")
        self.cell.set_platform_faults(away=True)
        self.cell.by_name[self.owner].wait_for(r"event=store-lost")
        self.cell.set_platform_faults()
        self.cell.wait_state(self.other, job_id, "succeeded")
        self.assertEqual(self.count_starts(job_id), 3)

    def test_lost_answers_of_writes_are_applied_once(self):
        self.cell.set_platform_faults(lose_writes=4)
        outcomes = [self.cell.submit(name) for name in self.cell.names]
        for job_id, status in outcomes:
            self.assertEqual(status, 200)
            self.cell.wait_state(self.other, job_id, "succeeded")
            self.assertEqual(self.count_starts(job_id), 3)


class OnlyWorker(SchedulerCase):
    """One worker, which serves."""

    workers = 1

    # Guards against filling work that waits for ever, works beside serving at its full
    # pace, or stays slow after it.
    def test_filling_beside_serving_is_paced_until_serving_ends(self):
        serving = schedulers.make_job(count=1, long_running=True, target_ms=200)
        serving_id, _ = self.cell.submit(self.other, serving)
        self.cell.wait_state(self.other, serving_id, "running")
        filling = schedulers.make_job(count=1, run_ms=3_000, fills=True)
        filling_id, _ = self.cell.submit(self.other, filling)
        log = self.cell.by_name[self.owner]
        log.wait_for(rf"event=run-pace job={filling_id} .*outcome=Done .*percent=0\b")
        answer = self.cell.send("DELETE", self.other, f"/editions/{serving_id}")
        self.assertEqual(answer.status, 200)
        log.wait_for(rf"event=run-pace job={filling_id} .*outcome=Done .*percent=100\b")
        self.cell.wait_state(self.other, filling_id, "succeeded")
        self.assertEqual(self.count_starts(filling_id), 2)


class PlannedStop(SchedulerCase):
    """A process is told to stop while its callers keep using open connections.

    In a rolling restart of all processes two requests, sent 5.0 s after the order to
    stop, lost their connection without an answer 5.3 s after it: the process ended at a
    set time, 0.7 s before the end of its grace, whatever was open then. Both ends fell
    on that time to the hundredth of a second, which proved it.
    """

    slow_ms = 300  # of each answer of the store
    callers = 12

    def test_no_request_is_cut(self):
        self.cell.set_platform_faults(slow_ms=self.slow_ms)
        stopped = self.cell.by_name[self.other]
        callers = []
        for _ in range(self.callers):
            callers.append(
                opencaller.OpenCaller(
                    self.cell.http_by_name[self.other], self.make_request
                )
            )
            # So that requests are open at any moment, in all their stages.
            time.sleep(self.slow_ms / 1000 / self.callers)
        for caller in callers:
            caller.wait_for(2)
        stopped.signal(signal.SIGTERM)
        self.assertEqual(stopped.popen.wait(harness.PATIENCE_S), 0)
        for caller in callers:
            caller.stop()
        self.assertEqual([c.cut for c in callers], [[]] * len(callers))
        self.cell.set_platform_faults()
        self.check_told_the_truth([end for c in callers for end in c.answered])

    def test_job_that_is_kept_is_not_refused(self):
        """Callers send an ID again, also after it was accepted, to any process."""
        job_id, first = self.cell.submit(self.owner)
        self.assertEqual(first, 200)
        stopped = self.cell.by_name[self.other]
        stopped.signal(signal.SIGTERM)
        statuses = set()
        while stopped.popen.poll() is None:
            statuses.add(self.cell.submit(self.other, job_id=job_id)[1])
        self.assertIn("event=turned-away", stopped.read_log())
        self.assertNotIn(503, statuses)
        self.cell.names.remove(self.other)
        self.cell.wait_state(self.owner, job_id, "succeeded")

    def make_request(self):
        """Make the parts of a request that hands in a job."""
        job_id = next(self.cell.ids)
        body = msgspec.json.encode(schedulers.make_job())
        return job_id, schedulers.HOST, f"/editions/{job_id}", body

    def check_told_the_truth(self, answered):
        """What was accepted runs, and what was refused never does."""
        self.cell.names.remove(self.other)
        for job_id, status in answered:
            self.assertIn(status, (200, 503, 504))
            if status == 200:
                self.cell.wait_state(self.cell.names[0], job_id, "succeeded")
        for job_id, status in answered:
            if status == 503:
                self.assertEqual(self.count_starts(job_id), 0)


if __name__ == "__main__":
    unittest.main()
