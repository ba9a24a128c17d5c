"""Seeded plays of lasting tasks whose workers and owners end at about the same time.

The cell has 19 workers, jobs of six lasting tasks, and batch jobs beside them. A play
loses workers of lasting tasks beside one or two other troubles, again and again, with
calm after each. By the rule, the end of an owner disturbs at the moment it ends; that a
successor takes over does not.

`python -m tests.ownerlossplays FIRST COUNT [TROUBLE ...]` prints the tasks that were
late, of plays with the troubles that are named alone, or with any.
"""

import math
import random
import sys

from tests import cellworld, standingplays
from thornport.jobs import queue, record, spec

WORKERS = 19
CORES = 32_000
MEMORY_MB = 128_000
TASKS = 6
CALM_S = 24.0
# A successor asks an earlier owner again after this time.
ASK_CEASED_S = 0.3
# Witnesses greet a successor within this time of its takeover.
GREETED_S = 0.5
# The last heartbeat of an owner that is killed was sent this long before.
HEARTBEAT_S = 0.25
ADVICE_BY_NAME = {
    "none": None,
    "cheap": queue.Advice(12, 0.8),
    "dear": queue.Advice(900, 10.0),
}


class OwnerLossWorld(standingplays.PlayWorld):
    """A cell whose owners end without telling what they leased.

    Attributes:
      is_disturbed: A bool, whether something goes on that disturbs.
    """

    def __init__(self, faults, advice, has_start_times, worker_count=WORKERS):
        """Begin.

        Args:
          faults: As for the world.
          advice: A queue.Advice of the lasting jobs, or None.
          has_start_times: A bool, whether workers state when they started.
          worker_count: An int.
        """
        self.is_disturbed = False
        self._told_at = math.inf
        self._gone_at = 0.0
        self._attested_at = math.inf
        self._took_over_at = 0.0
        self._stated = {}
        self.standing = standingplays.make_queue(standingplays.STANDING, 1, advice)
        self.batch = standingplays.make_queue(
            standingplays.BATCH, 2, queue.Advice(20, 0.8)
        )
        self.CONFIG = queue.Config(1, (self.standing, self.batch))
        super().__init__(faults, worker_count, 8, has_start_times)

    def _begin_life(self, worker_id, began_at):
        super()._begin_life(worker_id, began_at)
        self.workers_by_id[worker_id].total = spec.Demand(CORES, MEMORY_MB)

    def is_good(self, step_key, worker_id):
        """Whether a worker may run a step: most may, as on small cells."""
        self.good_share = 0.75
        return super(standingplays.StandingWorld, self).is_good(step_key, worker_id)

    def submit_to(self, chosen, *steps):
        """Hand in a job to a queue; its id."""
        job_id = f"{chosen.name}{len(self.submitted_by_id)}"
        job = spec.Job("text", steps)
        accepted_at_ms = int(self.now * 1000)
        self.submit(record.JobRecord(job_id, chosen, job, accepted_at_ms))
        return job_id

    def kill_owner(self, gap_s, returns_s):
        """Kill the owner's process; a successor takes over.

        The owner's witnesses tell the successor what it stated of silent workers, and
        that it has ceased by the takeover at the latest.

        Args:
          gap_s: A float, from the kill to the takeover.
          returns_s: A float, from the kill until its next process answers the successor
            that it sends no commands; None for never.
        """
        self.disturbed_at = max(self.disturbed_at, self.now)
        gone_at = math.inf if returns_s is None else self.now + returns_s
        self._gone_at = max(self._gone_at, gone_at)
        self._stated = self._list_stated()
        self.run_without_owner(gap_s)
        self.take_over(is_known_gone=False)
        asked_s = self.faults.rng.uniform(0, ASK_CEASED_S)
        self._told_at = max(self.now, self._gone_at + asked_s)
        self._took_over_at = self.now
        self._attested_at = self.now + self.faults.rng.uniform(0, GREETED_S)

    def _list_stated(self):
        """List the leases of silent workers that the owner's last heartbeat stated."""
        silent = self.owner.workers_by_id
        return {
            worker_id: over_at
            for worker_id, over_at in self.owner.list_lapses().items()
            if silent[worker_id].silent_since is not None
            and silent[worker_id].silent_since <= self.now - HEARTBEAT_S
        }

    def freeze_owner(self, seconds):
        """The owner stands still for some seconds, and goes on."""
        self.run_without_owner(seconds)
        self.disturbed_at = max(self.disturbed_at, self.now)

    def run_without_owner(self, seconds):
        """As the world's."""
        super().run_without_owner(seconds)
        self._note_running()

    def _pass_time(self):
        super()._pass_time()
        self._note_running()

    def _note_running(self):
        for worker in self.workers_by_id.values():
            for key in worker.active_by_key:
                self._last_run_at[key] = self.now

    def step(self):
        """As the world's; earlier owners answer that they have ceased."""
        if self.is_disturbed:
            self.disturbed_at = self.now + cellworld.STEP_S
        super().step()
        if self.now >= self._attested_at:
            self._attested_at = math.inf
            self.owner.take_lapses(self._stated)
            self.owner.note_earlier_owners_gone(self._took_over_at, self.now)
        if self.now >= self._told_at:
            self._told_at = math.inf
            self.owner.note_earlier_owners_gone(self._gone_at, self.now)

    def list_lasting_ids(self):
        """List the ids of the workers of lasting tasks."""
        return sorted(
            worker_id
            for worker_id, worker in self.workers_by_id.items()
            if any(self._read_spec(key).lasting for key in worker.active_by_key)
        )


class Troubles:
    """Troubles that meet lasting tasks, each of which loses workers."""

    def __init__(self, rng, world):
        """Take the world."""
        self._rng = rng
        self._world = world

    def _lose(self, counts=(1, 1, 2, 3)):
        """Lose workers of lasting tasks, for good or for a while."""
        ids = self._world.list_lasting_ids()
        count = min(len(ids), self._rng.choice(counts))
        is_silent = self._rng.random() < 0.6
        for worker_id in self._rng.sample(ids, count):
            if self._rng.random() < 0.4:
                self._world.lose(worker_id, is_refusing=not is_silent)
            else:
                # The next life does not end the disturbance: that is the crash.
                self._world.crash_for_a_while(worker_id, is_silent, back_s=3.0)
                self._world.disturbed_at = self._world.now
        self._world.trouble += "[silent]" if is_silent else "[refusing]"

    def _end_owner(self, returns):
        gap_s = self._rng.uniform(0.5, 2.5)
        returns_s = self._rng.choice(returns)
        told = "never" if returns_s is None else f"{returns_s}"
        self._world.trouble += f"[gap {gap_s:.2f} returns {told}]"
        self._world.kill_owner(gap_s, returns_s)

    def lose(self):
        """Workers are lost."""
        self._lose()

    def kill_quick(self):
        """The owner ends after a worker; its next process answers at once."""
        self._lose()
        self._world.run(self._rng.uniform(0, 3))
        self._end_owner((0.3,))

    def kill_returning(self):
        """The owner ends after a worker; its next process answers after seconds."""
        self._lose()
        self._world.run(self._rng.uniform(0, 3))
        self._end_owner((1.0, 2.0, 3.0, 5.0))

    def kill_for_good(self):
        """The owner ends after a worker, and nothing answers at its address."""
        self._lose()
        self._world.run(self._rng.uniform(0, 3))
        self._end_owner((None,))

    def kill_before(self):
        """The owner ends just before a worker."""
        self._world.disturbed_at = self._world.now
        self._world.run_without_owner(self._rng.uniform(0.5, 2.5))
        self._lose()
        self._world.take_over(is_known_gone=True, tells_lapses=False)

    def kill_twice(self):
        """A successor ends within seconds too."""
        self._lose()
        self._world.run(self._rng.uniform(0, 3))
        self._end_owner((0.3,))
        self._world.run(self._rng.uniform(0, 2))
        self._end_owner((0.3,))

    def regain(self):
        """The owner loses its key and a successor is told what it knew."""
        self._lose()
        self._world.run(self._rng.uniform(0, 3))
        self._world.run_without_owner(self._rng.uniform(0.1, 1.0))
        self._world.take_over(is_known_gone=True, tells_lapses=True)
        self._world.run(self._rng.uniform(0, 2))
        self._world.take_over(is_known_gone=True, tells_lapses=True)

    def lose_store(self):
        """The store is away while a worker is lost."""
        self._world.is_store_away = True
        before = self._rng.uniform(0, 3)
        self._world.run(before)
        self._lose()
        self._world.run(self._rng.uniform(0.5, 6))
        self._world.is_store_away = False
        self._world.disturbed_at = self._world.now

    def slow_store(self):
        """The store is slow while a worker is lost."""
        self._world.record_s = self._rng.choice(((0.1, 0.8), (0.8, 2.5)))
        self._lose()
        self._world.run(self._rng.uniform(1, 9))
        self._world.record_s = (0.0, 0.02)
        self._world.disturbed_at = self._world.now

    def kill_series(self):
        """Workers are lost one after the other under the same tasks."""
        for _ in range(self._rng.choice((2, 3, 4))):
            self._lose((1,))
            delay_s = self._rng.choice((0.1, 0.5, 1.0, 3.0))
            self._run_until_all_run()
            self._world.run(delay_s)

    def _run_until_all_run(self):
        for _ in range(200):
            running = {
                key
                for worker in self._world.workers_by_id.values()
                for key in worker.active_by_key
            }
            standing = self._world.list_standing()
            wanted = sum(kept.job.steps[0].count for kept in standing)
            ids = {kept.job_id for kept in standing}
            if sum(key.job_id in ids for key in running) >= wanted:
                return
            self._world.step()

    def freeze(self):
        """The owner stands still while a worker is lost."""
        self._lose()
        self._world.run(self._rng.uniform(0, 3))
        self._world.freeze_owner(self._rng.uniform(0.2, 4))

    def lose_answers(self):
        """Answers of workers are lost while one is lost."""
        self._world.faults.lost = self._rng.choice((0.2, 0.5))
        self._lose()
        self._world.run(self._rng.uniform(1, 9))
        self._world.faults.lost = 0.0
        self._world.disturbed_at = self._world.now

    def delay_orders(self):
        """Orders are carried out late while a worker is lost."""
        self._world.faults.late = 0.5
        self._lose()
        self._world.run(self._rng.uniform(1, 9))
        self._world.faults.late = 0.0
        self._world.disturbed_at = self._world.now

    def lose_start_target(self):
        """The workers that the tasks start at next are lost as they start."""
        self._lose((1,))
        for _ in range(200):
            starts = [run.worker_id for run in self._world.owner._recording]
            if starts:
                break
            self._world.step()
        for worker_id in starts[:1]:
            if worker_id in self._world.workers_by_id:
                self._world.lose(worker_id, is_refusing=False)

    def combine(self):
        """One of the others, while the store or calls to workers fail too."""
        around = self._rng.choice(
            (self._lose_store_around, self._slow_store_around, self._lose_around)
        )
        around()

    def _lose_store_around(self):
        # No successor can claim the cell meanwhile.
        self._world.is_store_away = True
        self._run_one(("lose", "freeze", "kill_series", "lose_start_target"))
        self._world.is_store_away = False

    def _slow_store_around(self):
        self._world.record_s = self._rng.choice(((0.1, 0.8), (0.8, 2.5)))
        self._run_one(
            ("kill_quick", "kill_before", "kill_twice", "regain", "freeze", "lose")
        )
        self._world.record_s = (0.0, 0.02)

    def _lose_around(self):
        chance = self._rng.choice(("lost", "late"))
        setattr(self._world.faults, chance, 0.4)
        self._run_one(
            ("kill_quick", "kill_before", "kill_twice", "regain", "freeze", "lose")
        )
        setattr(self._world.faults, chance, 0.0)

    def _run_one(self, names):
        name = self._rng.choice(names)
        self._world.trouble += f"+{name}"
        self._world.is_disturbed = True
        getattr(self, name)()
        self._world.run(self._rng.uniform(0.5, 5))
        self._world.is_disturbed = False


NAMES = tuple(
    name
    for name, value in vars(Troubles).items()
    if not name.startswith("_") and callable(value)
)


def play(seed, names=NAMES, troubles_count=4):
    """Play troubles one after another, with calm after each.

    Args:
      seed: An int.
      names: Names of Troubles that may come.
      troubles_count: An int, how many come.
    Returns:
      The OwnerLossWorld.
    """
    rng = random.Random(seed)
    faults = cellworld.Faults(random.Random(seed + 1))
    advice = ADVICE_BY_NAME[rng.choice(sorted(ADVICE_BY_NAME))]
    world = OwnerLossWorld(faults, advice, rng.random() < 0.2)
    world.breaks_off = rng.random() < 0.5
    world.record_s = (0.0, 0.02)
    troubles = Troubles(rng, world)
    world.run(0.5)
    for _ in range(rng.choice((1, 2, 3))):
        demand = spec.Demand(rng.choice((2_000, 4_000)), 6_000)
        world.submit_to(world.standing, spec.Step(TASKS, demand, 500, lasting=True))
    load = rng.choice((0.4, 0.7, 0.95))
    run_loaded(world, rng, load, 12)
    for _ in range(troubles_count):
        name = rng.choice(names)
        world.trouble = name
        getattr(troubles, name)()
        run_loaded(world, rng, load, CALM_S)
    return world


def run_loaded(world, rng, load, seconds):
    """Let time pass, keeping a share of the room in use by batch jobs."""
    until = world.now + seconds
    while world.now < until:
        if rng.random() < 0.3 and world.read_use() < load:
            waiting = sum(
                kept.queue.name == standingplays.BATCH and kept.end_state is None
                for kept in world.jobs_by_id.values()
            )
            if waiting < 12:
                demand = spec.Demand(rng.choice((3_000, 6_600, 16_000)), 12_000)
                count = rng.randint(3, 14)
                world.submit_to(world.batch, spec.Step(count, demand, 3_600))
        world.step()


def main():
    """Play seeds and print the lasting tasks that were late."""
    first, count = int(sys.argv[1]), int(sys.argv[2])
    names = tuple(sys.argv[3:]) or NAMES
    broken = 0
    for seed in range(first, first + count):
        world = play(seed, names)
        lates = [
            late for late in world.late_by_run.values() if late.last_run_at is not None
        ]
        broken += bool(lates)
        for late in lates:
            job = world.jobs_by_id[late.key.job_id]
            advice = job.queue.advice
            print(
                f"{seed} {late.trouble} {late.key.job_id}.{late.key.index}"
                f" late {late.late_s:.2f} s, last run {late.last_run_at:.2f},"
                f" disturbed {late.disturbed_at:.2f}, state {job.end_state},"
                f" advice {advice and advice.base_ms}",
                flush=True,
            )
    print(f"{broken} of {count} seeds have a task that was late: {' '.join(names)}")


if __name__ == "__main__":
    main()
