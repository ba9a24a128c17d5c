"""Property tests: no worker is overcommitted, and no task has two live runs.

Successive placers control simulated workers, which end runs themselves when a lease
lapses. Commands are delayed, lost or repeated, and reports are lost.
"""

import random
import unittest

import hypothesis
import msgspec
from hypothesis import strategies as st

from thornport.placement import model, placer
from thornport.settings import compile as compiling
from thornport.settings import schema

STEP_S = 0.25
WORKERS = ("w1", "w2", "w3")
TOTAL = model.Resources(8.0, 8000, 2)


def make_config(jobs):
    """Make settings with jobs of the given numbers of tasks, cores and run times."""
    declared = {
        f"j{n}": schema.Job("t", "p", tasks=tasks, cores=cores, run_ms=run_ms)
        for n, (tasks, cores, run_ms) in enumerate(jobs)
    }
    return compiling.Config(1, {"t": schema.Tier(1)}, {}, {}, declared)


class SimulatedWorker:
    """A worker that ends a run when its lease lapses."""

    def __init__(self, address):
        self.address = address
        self.by_run_id = {}

    def take(self, command, now):
        if isinstance(command, model.StartRun):
            run = {"task": command.task_id, "needs": command.needs, "state": "running"}
            run["lease"] = now + command.lease_ms / 1000
            run["finish"] = now + command.run_ms / 1000
            self.by_run_id.setdefault(command.run_id, run)
        elif isinstance(command, model.RenewLeases):
            for run_id in command.run_ids:
                run = self.by_run_id.get(run_id)
                if run and run["state"] == "running":
                    run["lease"] = now + command.lease_ms / 1000
        elif command.run_id in self.by_run_id:
            run = self.by_run_id[command.run_id]
            if run["state"] == "running":
                run["state"] = "stopped"

    def tick(self, now):
        for run in self.by_run_id.values():
            if run["state"] == "running" and now >= run["finish"]:
                run["state"] = "finished"
            elif run["state"] == "running" and now >= run["lease"]:
                run["state"] = "lapsed"

    def list_running(self):
        return [run for run in self.by_run_id.values() if run["state"] == "running"]

    def report(self, now):
        runs = [
            model.RunReport(
                run_id,
                run["task"],
                model.RunState(run["state"]),
                run["needs"].cores,
                run["needs"].memory_mb,
                run["needs"].accelerators,
                max(0, int((run["lease"] - now) * 1000)),
            )
            for run_id, run in self.by_run_id.items()
        ]
        return model.WorkerReport("1", *msgspec.structs.astuple(TOTAL), "r", "h", runs)


class Model:
    """Simulated workers, the current placer, and commands not delivered yet."""

    def __init__(self, choices, jobs):
        self.choices = choices
        self.config = make_config(jobs)
        self.now = 100.0
        self.workers = {address: SimulatedWorker(address) for address in WORKERS}
        self.undelivered = []
        self.partitioned_until = {}
        self.placers_started = 0
        self.persisted_jobs = set()
        self.may_place_at = 0.0
        self.start_placer()

    def start_placer(self):
        """Replace the placer; all but the first wait before they place."""
        self.placer = placer.Placer(f"placer{self.placers_started}")
        self.placer.finished_jobs = set(self.persisted_jobs)
        if self.placers_started:
            self.may_place_at = self.now + placer.TAKEOVER_WAIT_S
        self.placers_started += 1

    def is_partitioned(self, address):
        return self.partitioned_until.get(address, 0.0) > self.now

    def carry_out(self, commands):
        for command in commands:
            if isinstance(command, model.JobFinished):
                self.persisted_jobs.add(command.job_name)
                continue
            for _ in range(self.choices.choice((0, 1, 1, 1, 2))):
                delay = self.choices.choice((0.0, 0.3, placer.COMMAND_TIMEOUT_S))
                self.undelivered.append((self.now + delay, command))

    def deliver(self):
        due = [c for c in self.undelivered if c[0] <= self.now]
        self.undelivered = [c for c in self.undelivered if c[0] > self.now]
        for _, command in due:
            if not self.is_partitioned(command.worker):
                self.workers[command.worker].take(command, self.now)

    def step(self):
        self.now += STEP_S
        if self.choices.random() < 0.02:
            self.start_placer()
        if self.choices.random() < 0.05:
            address = self.choices.choice(WORKERS)
            self.partitioned_until[address] = self.now + self.choices.choice(
                (1.0, 12.0)
            )
        self.deliver()
        for worker in self.workers.values():
            worker.tick(self.now)
        self.check()
        self.placer.take_config(self.config)
        for address, worker in self.workers.items():
            if not self.is_partitioned(address) and self.choices.random() < 0.8:
                report = worker.report(self.now)
                self.carry_out(self.placer.take_report(address, report, self.now))
        self.placer.end_lapsed_runs(self.now)
        if self.now >= self.may_place_at:
            self.carry_out(self.placer.place(self.now))
        self.carry_out(self.placer.renew(self.now))

    def check(self):
        running = []
        for worker in self.workers.values():
            runs = worker.list_running()
            used = sum(run["needs"].cores for run in runs)
            assert used <= TOTAL.cores, (worker.address, used)
            running += [run["task"] for run in runs]
        assert len(running) == len(set(running)), sorted(running)


class Placement(unittest.TestCase):
    """Tests the limits of workers, single runs of tasks, completion and price order."""

    # Examples are drawn from a digest of this function's source: renames change them.
    @hypothesis.settings(max_examples=60, derandomize=True, deadline=None)
    @hypothesis.given(
        st.integers(0, 2**32),
        st.lists(
            st.tuples(
                st.integers(1, 5),
                st.sampled_from((1.0, 3.0, 8.0)),
                st.sampled_from((2000, 20_000)),
            ),
            min_size=1,
            max_size=4,
        ),
    )
    def test_never_over_and_never_twice(self, seed, jobs):
        model_cell = Model(random.Random(seed), jobs)
        for _ in range(300):
            model_cell.step()

    def test_all_jobs_finish_despite_placer_restarts(self):
        model_cell = Model(random.Random(3), [(5, 3.0, 1000), (2, 8.0, 1000)])
        for _ in range(1000):
            model_cell.step()
        self.assertEqual(model_cell.persisted_jobs, {"j0", "j1"})

    def test_highest_price_is_placed_first(self):
        tiers = {"low": schema.Tier(1), "high": schema.Tier(9)}
        jobs = {
            "cheap": schema.Job("low", "p", cores=8.0),
            "dear": schema.Job("high", "p", cores=8.0),
        }
        made = placer.Placer("x")
        made.take_config(compiling.Config(1, tiers, {}, {}, jobs))
        made.take_report("w1", SimulatedWorker("w1").report(0.0), 0.0)
        self.assertEqual([c.task_id for c in made.place(0.0)], ["dear/0"])
