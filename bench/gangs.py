"""What gangs, cheap jobs and urgent jobs get of a large cell, and what deciding costs.

The pure core alone, in simulated time: 270 workers at four fifths of their cores, a
burst of urgent jobs and one of gangs, advice that takes long for gangs and lets less
than half of the workers run a step, and ends that are seen at once. The same seed
brings the same jobs whatever the decisions are, so that two versions can be compared.
"""

import collections
import heapq
import itertools
import math
import random
import time
import zlib

import msgspec

from thornport.cell.decisions import core, messages, ticketing
from thornport.jobs import queue, record, spec

WORKERS = 270
CALLERS = 97
ROOM = spec.Demand(64_000, 262_144, 0)
STEP_S = 0.01
SIMULATED_S = 36.0
FULL_ROUND_S = 0.02
SEEDS = (2, 3)
VALID_MS = 1500  # of a ticket
WAY_S = 0.004  # to a process that calls for advice and back


class Kind(msgspec.Struct, frozen=True):
    """Jobs of one queue.

    Attributes:
      a_second: A float, how many come.
      mean_tasks, most_tasks: Of a job's one step, drawn with a long tail.
      demand: Demand of a task.
      run_s: A float, how long a task takes.
      good_share: A float, of the workers that may run a step.
      burst: When more come, and how many times more: a tuple of three floats.
    """

    queue: queue.Queue
    a_second: float
    mean_tasks: int
    most_tasks: int
    demand: spec.Demand
    run_s: float
    good_share: float
    burst: tuple[float, float, float]
    gang: bool = False

    @property
    def objective_s(self):
        """Within what time a job is in time, a float."""
        return self.queue.target_ms / 1000 + self.queue.stretch * self.run_s


def make_queue(name, priority, stretch, target_ms, advice):
    """Make a queue of the service."""
    return queue.Queue(
        name,
        service="press",
        priority=priority,
        max_attempts=3,
        stretch=stretch,
        target_ms=target_ms,
        advice=queue.Advice(*advice, VALID_MS),
    )


KINDS = (
    Kind(
        make_queue("urgent", 0, 1.25, 250, (7.0, 0.1)),
        49.3,
        3,
        12,
        spec.Demand(16_000, 20_000, 0),
        0.8,
        0.8,
        (4.0, 8.0, 2.0),
    ),
    Kind(
        make_queue("gangs", 1, 2.0, 1000, (600.0, 8.6)),
        2.72,
        24,
        120,
        spec.Demand(18_000, 20_000, 0),
        6.2,
        0.45,
        (20.0, 24.0, 1.8),
        gang=True,
    ),
    Kind(
        make_queue("cheap", 2, 4.4, 3000, (50.0, 0.5)),
        5.55,
        36,
        150,
        spec.Demand(11_000, 20_000, 0),
        2.2,
        0.46,
        (0.0, 0.0, 1.0),
    ),
)


class Mix(msgspec.Struct, frozen=True):
    """What comes to what cell.

    Attributes:
      kinds: A tuple of Kind.
      workers, callers: Ints.
      room: Demand, what each worker has.
      config: The queue.Config.
    """

    kinds: tuple[Kind, ...]
    workers: int
    callers: int
    room: spec.Demand
    config: queue.Config


LARGE = Mix(
    KINDS,
    WORKERS,
    CALLERS,
    ROOM,
    queue.Config(1, tuple(kind.queue for kind in KINDS)),
)


class Job(msgspec.Struct):
    """A job as the simulation sees it.

    Attributes:
      workspace: A str, whose it is; empty for nobody's.
      left: An int, tasks that are not done.
      started_at, ended_at: Floats; infinite before.
    """

    kind: Kind
    arrived_at: float
    left: int
    started_at: float = math.inf
    ended_at: float = math.inf
    workspace: str = ""


class LiveTask(msgspec.Struct):
    """A run at a worker."""

    run: int
    began_at: float
    takes_s: float


class Worker:
    """A worker that does as told and tells of ends when it is looked at."""

    def __init__(self):
        self.live_by_key = {}
        self.ended = []
        self.number = 0

    def end(self, key, kind):
        """Let a run end."""
        run = self.live_by_key.pop(key).run
        self.number += 1
        self.ended.append(messages.EndRow(self.number, key, run, kind, ""))

    def answer(self, now):
        """Answer a look."""
        rows = [
            messages.RunningRow(
                key,
                live.run,
                "",
                min(99, int(100 * (now - live.began_at) / live.takes_s)),
            )
            for key, live in self.live_by_key.items()
        ]
        ended, self.ended = self.ended, []
        return messages.HoldAnswer(int(now * 1000), rows, ended)


class Simulation:
    """One owner, its workers, the jobs that come, and the time."""

    def __init__(self, seed, mix=LARGE):
        self.now = 0.0
        self.mix = mix
        self.core = core.CellCore(1, self.now, self.now, 1e9)
        self.core.take_config(mix.config, 0.0)
        self.rng_by_kind = {
            kind: random.Random(f"{seed} {kind.run_s}") for kind in mix.kinds
        }
        self.worker_by_id = {f"w{n:03}": Worker() for n in range(mix.workers)}
        self.job_by_id = {}
        self.due = []
        self.advice = []
        self.sequence = itertools.count()
        self.full_round_at = 0.0
        self.core_s = 0.0
        ready = messages.WorkerState.READY
        for number, worker_id in enumerate(self.worker_by_id):
            entry = messages.WorkerEntry(
                worker_id, "a:1", "press", "h", ready, mix.room
            )
            entry = msgspec.structs.replace(entry, address=f"a:{number}")
            self.core.take_worker(entry, number + 1, self.now)

    def arrive(self):
        """Let jobs come."""
        for kind, rng in self.rng_by_kind.items():
            first, last, times = kind.burst
            expected = (
                kind.a_second * STEP_S * (times if first <= self.now < last else 1)
            )
            for _ in range(int(expected) + (rng.random() < expected % 1)):
                self.take_job(kind, rng)

    def take_job(self, kind, rng):
        """Take one job."""
        drawn = rng.lognormvariate(math.log(kind.mean_tasks) - 0.245, 0.7)
        count = max(1, min(kind.most_tasks, round(drawn)))
        step = spec.Step(count, kind.demand, int(kind.run_s * 1000), gang=kind.gang)
        job_id = f"{len(self.job_by_id):016x}"
        job = Job(kind, self.now, count, workspace=self.choose_workspace(rng))
        self.job_by_id[job_id] = job
        kept = record.JobRecord(
            job_id,
            kind.queue,
            spec.Job("text", (step,)),
            int(self.now * 1000),
            workspace=job.workspace,
        )
        self.hand_in(kept)

    def hand_in(self, kept):
        """Have the core take an accepted job, a record.JobRecord."""
        self.core.take_job(kept, self.now)

    def choose_workspace(self, rng):
        """Choose whose job comes next; a str, empty for nobody's."""
        return ""

    def end_due(self):
        """Let tasks end whose time is over; returns the ids of their workers."""
        touched = set()
        while self.due and self.due[0][0] <= self.now:
            _, _, key, run, worker_id = heapq.heappop(self.due)
            worker = self.worker_by_id[worker_id]
            live = worker.live_by_key.get(key)
            if live is None or live.run != run:
                continue
            worker.end(key, messages.EndKind.DONE)
            touched.add(worker_id)
            job = self.job_by_id[key.job_id]
            job.left -= 1
            if not job.left:
                job.ended_at = self.now
        return touched

    def look(self, worker_ids):
        """Look at some workers."""
        for worker_id in sorted(worker_ids):
            request = self.core.make_poll(worker_id, self.now)
            answer = self.worker_by_id[worker_id].answer(self.now)
            self.core.take_poll(request, self.now, answer, self.now)

    def decide(self):
        """A round, its records, and the answers of advice that are due."""
        is_full = self.now >= self.full_round_at
        self.core.place(self.now, only_urgent=not is_full)
        if is_full:
            self.full_round_at = self.now + FULL_ROUND_S
        while (batch := self.core.make_batch()) is not None:
            self.core.take_persisted(batch, self.now, self.now)
        while self.advice and self.advice[0][0] <= self.now:
            _, _, request, good = heapq.heappop(self.advice)
            answer = messages.AdviceAnswer(good, VALID_MS)
            self.core.take_advice(request, answer, self.now)
        for order in self.core.take_commands():
            self.carry_out(order)

    def carry_out(self, order):
        """Carry out an order at once."""
        if isinstance(order, ticketing.CallAdvice):
            self.call_advice(order.request)
            return
        worker = self.worker_by_id[order.worker_id]
        done = messages.Done(int(self.now * 1000))
        if isinstance(order, messages.StopOrder):
            if order.key in worker.live_by_key:
                worker.end(order.key, messages.EndKind.STOPPED)
            self.core.take_stop_outcome(order, done, self.now)
            return
        if isinstance(order, messages.PaceOrder):
            self.core.take_pace_outcome(order, done, self.now)
            return
        job = self.job_by_id[order.key.job_id]
        job.started_at = min(job.started_at, self.now)
        # Estimates are rough: tasks take 0.9 to 1.15 times as long.
        takes_s = job.kind.run_s * (0.9 + draw_share(order.key) / 4)
        worker.live_by_key[order.key] = LiveTask(order.run, self.now, takes_s)
        due = (
            self.now + takes_s,
            next(self.sequence),
            order.key,
            order.run,
            order.worker_id,
        )
        heapq.heappush(self.due, due)
        self.core.take_start_outcome(order, done, self.now)

    def call_advice(self, request):
        """Have advice answered when its time is over."""
        kind = self.job_by_id[request.step.job_id].kind
        advice = kind.queue.advice
        takes_s = (advice.base_ms + advice.worker_ms * len(request.worker_ids)) / 1000
        good = tuple(
            messages.Ticket(worker_id, "t")
            for worker_id in request.worker_ids
            if draw_share((request.step, worker_id)) < kind.good_share
        )
        due = (self.now + takes_s + WAY_S, next(self.sequence), request, good)
        heapq.heappush(self.advice, due)

    def run(self):
        """Run to the end."""
        for number in range(round(SIMULATED_S / STEP_S)):
            self.now += STEP_S
            if number % 50 == 0:
                for caller in range(self.mix.callers):
                    name = f"p{caller}"
                    self.core.callers.greet(name, name, True, 1.0, self.now)
            self.arrive()
            began = time.perf_counter()
            touched = self.end_due()
            self.look(self.worker_by_id if number % 70 == 0 else touched)
            if number % 10 == 0:
                self.core.tick(self.now, 0)
            self.decide()
            self.core_s += time.perf_counter() - began
            self.core.take_notes()


def draw_share(subject):
    """Draw a number from 0 to 1 that is the same for the same subject."""
    return zlib.crc32(str(subject).encode()) % 1000 / 1000


def describe(kind, jobs):
    """Describe what became of the jobs of a kind, a str of key=value pairs."""
    decided = [job for job in jobs if job.arrived_at + kind.objective_s < SIMULATED_S]
    in_time = sum(job.ended_at - job.arrived_at <= kind.objective_s for job in decided)
    waits = sorted(job.started_at - job.arrived_at for job in decided)
    name = kind.queue.name
    return (
        f"{name}={len(decided)} {name}_in_time={in_time / len(decided):.3f} "
        f"{name}_wait_s_p50={waits[len(waits) // 2]:.2f} "
        f"p90={waits[int(0.9 * len(waits))]:.2f}"
    )


def main():
    """Print a line for each seed."""
    for seed in SEEDS:
        simulation = Simulation(seed)
        simulation.run()
        jobs_by_kind = collections.defaultdict(list)
        for job in simulation.job_by_id.values():
            jobs_by_kind[job.kind].append(job)
        parts = [describe(kind, jobs_by_kind[kind]) for kind in KINDS]
        share = simulation.core_s / SIMULATED_S
        print(f"gangs seed={seed}", *parts, f"core_share={share:.3f}")


if __name__ == "__main__":
    main()
