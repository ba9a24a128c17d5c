"""What the decisions of a cell's owner cost, by the number of its workers.

The pure core alone, in one process: jobs of the users' mix come, each start is
answered at once and each task ends when its time is over, in simulated time. A second
mix has accelerators: tasks of one and of all eight of a worker wait for one another.
"""

import collections.abc
import random
import time

import msgspec
from hdrh import histogram

from thornport.cell.decisions import core, messages
from thornport.jobs import queue, record, spec

WORKER_COUNTS = (24, 176, 860)
ACCELERATOR_WORKER_COUNTS = (27, 178)
ROOM = spec.Demand(64_000, 131_072, 0)
ACCELERATOR_ROOM = spec.Demand(64_000, 131_072, 8)
STEP_S = 0.01
SIMULATED_S = 10.0
JOBS_A_WORKER_S = 1.1  # 28 jobs a second over 24 workers
URGENT = queue.Queue("urgent", "h", "/u/", "press-desk", 0, 3)
LARGE = queue.Queue("large", "h", "/l/", "press-desk", 1, 3)


def make_job(rng, number):
    """Draw a job: mostly small urgent ones, some gangs of large tasks."""
    if rng.random() < 0.95:
        step = spec.Step(2, spec.Demand(5600, 10_000, 0), 640)
        kept_queue = URGENT
    else:
        step = spec.Step(8, spec.Demand(18_000, 26_000, 0), 6200, gang=True)
        kept_queue = LARGE
    job = spec.Job("text", (step,))
    return record.JobRecord(f"{number:016x}", kept_queue, job, 0)


def make_accelerator_job(rng, number):
    """Draw a job: urgent ones, and tasks of one and of eight accelerators."""
    draw = rng.random()
    if draw < 0.8:
        step = spec.Step(6, spec.Demand(3000, 8700, 0), 560)
        kept_queue = URGENT
    elif draw < 0.9:
        step = spec.Step(2, spec.Demand(31_000, 45_000, 8), 3600, gang=True)
        kept_queue = LARGE
    else:
        step = spec.Step(4, spec.Demand(5600, 11_000, 1), 3800)
        kept_queue = LARGE
    job = spec.Job("text", (step,))
    return record.JobRecord(f"{number:016x}", kept_queue, job, 0)


class Mix(msgspec.Struct, frozen=True):
    """What a simulation is made of.

    Attributes:
      make_job: A callable of random numbers and a job's number.
      room: Demand, what a worker has.
      jobs_a_worker_s: A float, jobs that come for each worker and second.
    """

    name: str
    make_job: collections.abc.Callable
    room: spec.Demand
    jobs_a_worker_s: float


PLAIN = Mix("plain", make_job, ROOM, JOBS_A_WORKER_S)
ACCELERATORS = Mix("accelerators", make_accelerator_job, ACCELERATOR_ROOM, 0.45)


class Simulation:
    """One owner, its workers and the time."""

    def __init__(self, worker_count, mix):
        self.now = 0.0
        self.core = core.CellCore(1, self.now, self.now, 1.0)
        self.core.take_config(queue.Config(1, (URGENT, LARGE)), 0.0)
        self.due = []
        self.ended_by_worker = {}
        self.number_by_worker = {}
        self.starts = 0
        for number in range(worker_count):
            entry = messages.WorkerEntry(
                f"w{number}",
                f"10.0.{number // 250}.{number % 250}:1",
                "press-desk",
                "h1",
                messages.WorkerState.READY,
                mix.room,
            )
            self.core.take_worker(entry, number, self.now)
            self.look(f"w{number}")

    def look(self, worker_id):
        """Look at a worker and take its ends."""
        request = self.core.make_poll(worker_id, self.now)
        ended = self.ended_by_worker.pop(worker_id, [])
        answer = messages.HoldAnswer(int(self.now * 1000), [], ended)
        self.core.take_poll(request, self.now, answer, self.now)

    def end_due(self):
        """Let tasks end whose time is over."""
        ending = [item for item in self.due if item[0] <= self.now]
        self.due = [item for item in self.due if item[0] > self.now]
        for _, order in ending:
            number = self.number_by_worker.get(order.worker_id, 0) + 1
            self.number_by_worker[order.worker_id] = number
            row = messages.EndRow(
                number, order.key, order.run, messages.EndKind.DONE, ""
            )
            self.ended_by_worker.setdefault(order.worker_id, []).append(row)
        for worker_id in list(self.ended_by_worker):
            self.look(worker_id)

    def decide(self):
        """One round: place, keep, start."""
        self.core.place(self.now)
        while (batch := self.core.make_batch()) is not None:
            self.core.take_persisted(batch, self.now, self.now)
        for order in self.core.take_commands():
            if isinstance(order, messages.StartOrder):
                job = self.core.jobs_by_id[order.key.job_id]
                run_s = job.record.job.steps[0].estimate_ms / 1000
                self.due.append((self.now + run_s, order))
                done = messages.Done(int(self.now * 1000))
                self.core.take_start_outcome(order, done, self.now)
                self.starts += 1


def measure(worker_count, mix):
    """Run one size; returns starts, seconds of decisions, and a histogram."""
    rng = random.Random(worker_count)
    simulation = Simulation(worker_count, mix)
    rounds = histogram.HdrHistogram(1, 10_000_000, 3)
    total_s = 0.0
    number = 0
    while simulation.now < SIMULATED_S:
        simulation.now += STEP_S
        for _ in range(
            round(rng.expovariate(1 / (mix.jobs_a_worker_s * worker_count)))
        ):
            if rng.random() < STEP_S:
                number += 1
                simulation.core.take_job(mix.make_job(rng, number), simulation.now)
        began = time.perf_counter()
        simulation.end_due()
        simulation.decide()
        took_s = time.perf_counter() - began
        total_s += took_s
        rounds.record_value(max(1, int(took_s * 1e6)))
    return simulation.starts, total_s, rounds


def main():
    """Print a line for each size."""
    sizes = [(count, PLAIN) for count in WORKER_COUNTS]
    sizes += [(count, ACCELERATORS) for count in ACCELERATOR_WORKER_COUNTS]
    for worker_count, mix in sizes:
        starts, total_s, rounds = measure(worker_count, mix)
        p50 = rounds.get_value_at_percentile(50) / 1000
        p99 = rounds.get_value_at_percentile(99) / 1000
        print(
            f"cell mix={mix.name} workers={worker_count} starts={starts} "
            f"ms_a_start={1000 * total_s / max(1, starts):.3f} "
            f"starts_a_second={starts / total_s:.0f} "
            f"round_ms_p50={p50:.2f} p99={p99:.2f} "
            f"core_share={total_s / SIMULATED_S:.3f}"
        )


if __name__ == "__main__":
    main()
