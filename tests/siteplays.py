"""Seeded plays of a site of two services, with troubles that follow one another.

Eight workers have accelerators and nineteen of unlike sizes have none; short, dear and
usual advice share the processes that call for it. Each trouble is short. A play ends
with calm, in which a job that has room must start in time.

`python -m tests.siteplays FIRST COUNT` prints how long jobs stood still.
"""

import collections
import random
import sys

from tests import advisedplays, advisedworld, cellworld, worldlives
from thornport.cell.decisions import leases, messages
from thornport.jobs import queue, record, spec

STUCK_S = 2.5
CALM_S = 13.0
TOLD_S = 1.5
GPU_SERVICE = "gpu-desk"
CPU_SERVICE = worldlives.SERVICE
GPU_WORKERS = 8
CPU_WORKERS = 19
CPU_SIZES = (0.5, 0.75, 1.0, 1.0, 1.5)
QUEUES = tuple(
    queue.Queue(
        name,
        "h",
        f"/{name}/",
        service,
        priority=priority,
        max_attempts=cellworld.QUEUE.max_attempts,
        stretch=3.0,
        target_ms=2000,
        advice=queue.Advice(base_ms, worker_ms),
    )
    for name, service, priority, base_ms, worker_ms in (
        ("clash", CPU_SERVICE, 0, 13, 0.19),
        ("solve", CPU_SERVICE, 1, 490, 7.0),
        ("watch", CPU_SERVICE, 2, 13, 0.19),
        ("bell", GPU_SERVICE, 1, 490, 7.0),
        ("room", GPU_SERVICE, 2, 140, 2.0),
    )
)
QUEUE_BY_NAME = {one.name: one for one in QUEUES}
GOOD_BY_QUEUE = {"clash": 0.45, "solve": 0.3, "watch": 0.45, "bell": 0.3, "room": 0.45}
JOBS_A_S = {"clash": 2.0, "solve": 0.3, "watch": 0.05, "bell": 0.5, "room": 0.6}


class SiteWorld(advisedworld.AdvisedWorld):
    """Two services, poison, and workers that fail, hang or turn slow.

    Attributes:
      poison: Ids of jobs whose tasks fail wherever they run.
      grey: Ids of workers at which all tasks fail.
      slow: Ids of workers at which tasks take several times as long.
      refused_tickets: A float, the chance that a worker refuses a ticket.
      spells: The longest that a step stood still, by the step and the begin.
    """

    CONFIG = queue.Config(1, QUEUES)
    CALLERS = 9
    SLOW_TIMES = 6.5

    def __init__(self, faults):
        """Begin with the workers of both services."""
        self.poison = set()
        self.grey = set()
        self.slow = set()
        self.refused_tickets = 0.0
        self.spells = {}
        self._lost_runs = []
        self._judged_service = None
        super().__init__(faults, GPU_WORKERS + CPU_WORKERS)

    def find_service(self, worker_id):
        """By the number of the worker."""
        number = int(worker_id.partition("-")[0][1:])
        return GPU_SERVICE if number < GPU_WORKERS else CPU_SERVICE

    def is_good(self, step_key, worker_id):
        """Of the service of the job, and by its queue."""
        of_queue = self.submitted_by_id[step_key.job_id].queue
        if self.find_service(worker_id) != of_queue.service:
            return False
        self.good_share = GOOD_BY_QUEUE[of_queue.name]
        return super().is_good(step_key, worker_id)

    def _begin_life(self, worker_id, began_at):
        super()._begin_life(worker_id, began_at)
        size, gpus = 2.0, 8
        if self.find_service(worker_id) != GPU_SERVICE:
            size, gpus = self.faults.rng.choice(CPU_SIZES), 0
        self.workers_by_id[worker_id].total = spec.Demand(
            int(32_000 * size), int(131_072 * size), gpus
        )

    def _end_life(self, worker_id):
        lapse_at = self.now + leases.EARLIER_LEASE_S + 0.5
        life = self.workers_by_id[worker_id]
        # Ends that were not told are lost too.
        keys = [*life.active_by_key, *(row.key for row in life.ended)]
        self._lost_runs += [(lapse_at, key) for key in keys]
        super()._end_life(worker_id)

    def _do(self, worker, order):
        is_start = isinstance(order, messages.StartOrder)
        if is_start and self.faults.draw(self.refused_tickets):
            return messages.Rejected(messages.Rejection.TICKET)
        return super()._do(worker, order)

    def _doom(self, order, worker):
        super()._doom(order, worker)
        active = worker.active_by_key.get(order.key)
        if active is None:
            return
        if order.key.job_id in self.poison or worker.worker_id in self.grey:
            active.fails = True
        times = self.faults.rng.uniform(0.6, 1.6)
        if worker.worker_id in self.slow:
            times = self.SLOW_TIMES
        run_ms = (active.ends_at_ms - active.began_at_ms) * times
        active.ends_at_ms = active.began_at_ms + int(run_ms)

    # What stands still.

    def note_spells(self):
        """Note how long what stands still has done so."""
        self.find_stuck(0.0)
        for key, at in self._idle_since.items():
            self.spells[(key, at)] = self.now - at

    def _list_idle(self):
        self._lost_runs = [pair for pair in self._lost_runs if pair[0] > self.now]
        lost = {key for _, key in self._lost_runs}
        barred = lost | self._list_done()
        for worker in self.workers_by_id.values():
            barred |= worker.active_by_key.keys() | {row.key for row in worker.ended}
        lost_by_step = collections.Counter(map(advisedworld.read_step, lost))
        for service in (GPU_SERVICE, CPU_SERVICE):
            self._judged_service = service
            for key in super()._list_idle():
                kept = self.submitted_by_id[key.job_id]
                if kept.queue.service != service or self._is_over(key.job_id):
                    continue
                # Tasks that may live on at a lost worker can't start.
                step = kept.job.steps[key.step]
                together = step.gang and lost_by_step[key]
                if not together and self._has_startable(key, step, barred):
                    yield key

    def _has_startable(self, key, step, barred):
        """Whether a task of a step is neither barred nor done by the job's record."""
        done = self._read_recorded_done(key, step)
        return any(
            index not in done
            and messages.TaskKey(key.job_id, key.time, key.step, index) not in barred
            for index in range(step.count)
        )

    def _read_recorded_done(self, key, step):
        """Read the indexes of the tasks of a step that its job's record has as done.

        Their worker may have gone before it was told that their ends were taken.
        """
        value = self.progress_by_id.get(key.job_id)
        steps = () if value is None else record.decode_progress(value).steps
        for kept in steps:
            if (kept.time, kept.step) == (key.time, key.step):
                return range(step.count) if kept.all_done else kept.done
        return ()

    def _is_over(self, job_id):
        """Whether the end of a job is kept, though runs of it may be live."""
        value = self.progress_by_id.get(job_id)
        if value is None:
            return False
        return record.decode_progress(value).state in record.FINAL_STATES

    def _list_done(self):
        """Those that an owner took note of: others make no step due."""
        lives = [*self.workers_by_id.values(), *self.ended_lives]
        return {key for life in lives for key in life.noted_done} | self.noted_done

    def _list_judged(self):
        """Those of the service that are in reach and listed."""
        out_of_reach = self.cut | self.silenced | self.refusing | self.unlisted
        return [
            worker
            for worker_id, worker in self.workers_by_id.items()
            if worker_id not in out_of_reach
            and self.find_service(worker_id) == self._judged_service
        ]


def draw_step(rng, name):
    """Draw a step for a queue, as the users describe them."""
    if name == "clash":
        run_ms = int(rng.uniform(300, 900))
        return spec.Step(rng.randint(1, 8), spec.Demand(3_000, 2_000), run_ms)
    if name == "solve":
        most = rng.choice((0, 0, 1, 2))
        run_ms = advisedplays.draw_ms(rng, 8.0)
        demand = spec.Demand(6_600, 12_000)
        return spec.Step(rng.randint(2, 16), demand, run_ms, max_per_worker=most)
    if name == "watch":
        most = rng.choice((0, 1))
        demand = spec.Demand(2_000, 4_000)
        return spec.Step(6, demand, 500, lasting=True, max_per_worker=most)
    if name == "bell":
        return advisedplays.draw_gang(rng)
    return advisedplays.draw_small(rng)


def draw_job(rng, name):
    """Draw a job for a queue; some have two steps, one after the other."""
    steps = [draw_step(rng, name)]
    if name in ("clash", "solve") and rng.random() < 0.5:
        later = draw_step(rng, name)
        steps.append(
            spec.Step(
                later.count,
                later.demand,
                later.estimate_ms,
                after=(0,),
                max_per_worker=later.max_per_worker,
            )
        )
    return spec.Job("text", tuple(steps))


def submit(world, rng, name):
    """Hand in a job to a queue; its id."""
    job_id = f"{name}{len(world.submitted_by_id)}"
    accepted_at_ms = int(world.now * 1000)
    world.submit(
        record.JobRecord(
            job_id, QUEUE_BY_NAME[name], draw_job(rng, name), accepted_at_ms
        )
    )
    return job_id


class Troubles:
    """What befalls a site; each trouble is over after some seconds."""

    def __init__(self, rng, world):
        """Take the world."""
        self._rng = rng
        self._world = world
        self._ends = []
        self._all = (
            self.fail_all,
            self.fail_all,
            self.hang,
            self.slow,
            self.cut,
            self.silence,
            self.crash,
            self.crash,
            self.restart,
            self.lose_answers,
            self.delay_orders,
            self.lose_advice,
            self.refuse_tickets,
            self.slow_store,
            self.take_over,
            self.poison,
            self.poison,
            self.crash_by_task,
            self.burst,
        )

    def befall(self):
        """Let one of them happen."""
        self._rng.choice(self._all)()

    def end_due(self):
        """End those that are due."""
        due = [end for at, end in self._ends if at <= self._world.now]
        self._ends = [pair for pair in self._ends if pair[0] > self._world.now]
        for end in due:
            end()

    def end_all(self):
        """End all of them."""
        for _, end in self._ends:
            end()
        self._ends = []
        self._world.late_calls.clear()

    def _end_after(self, least_s, most_s, end):
        at = self._world.now + self._rng.uniform(least_s, most_s)
        self._ends.append((at, end))

    def _draw_workers(self):
        ids = sorted(self._world.workers_by_id)
        if self._rng.random() < 0.5:
            is_gpu = self._rng.random() < 0.5
            service = GPU_SERVICE if is_gpu else CPU_SERVICE
            ids = [one for one in ids if self._world.find_service(one) == service]
        return self._rng.sample(ids, min(len(ids), self._rng.choice((1, 2, 3, 5))))

    def fail_all(self):
        """Some workers fail all that they start."""
        ids = set(self._draw_workers())
        self._world.grey |= ids
        self._end_after(1, 6, lambda: self._world.grey.difference_update(ids))

    def hang(self):
        """Tasks on some workers stand still."""
        ids = self._draw_workers()
        for worker_id in ids:
            self._world.workers_by_id[worker_id].hang(self._world.now)
        self._end_after(1, 6, lambda: self._wake(ids))

    def _wake(self, ids):
        for worker_id in ids:
            if worker_id in self._world.workers_by_id:
                self._world.workers_by_id[worker_id].hung_at_ms = None

    def slow(self):
        """Some workers turn slow."""
        ids = set(self._draw_workers())
        self._world.slow |= ids
        self._end_after(2, 8, lambda: self._world.slow.difference_update(ids))

    def cut(self):
        """Nothing reaches some workers."""
        self._leave(self._world.cut)

    def silence(self):
        """Answers of some workers are lost."""
        self._leave(self._world.silenced)

    def _leave(self, ids):
        drawn = self._draw_workers()
        ids.update(drawn)
        end = lambda: [self._world.reach_again(one) for one in drawn]  # noqa: E731
        self._end_after(0.3, 7, end)

    def crash(self):
        """Workers end; other lives take their places."""
        self._world.back_s = self._rng.uniform(0.5, 5)
        self._world.keeps_id = self._rng.random() < 0.5
        for worker_id in self._draw_workers():
            self._world.crash_for_a_while(worker_id)

    def restart(self):
        """Workers start again under their ids; entries may come late."""
        for worker_id in self._draw_workers():
            is_listed = self._rng.random() < 0.7
            self._world.restart(worker_id, is_listed)
            if not is_listed:
                self._world.unlisted.add(worker_id)
                self._end_after(0.3, 3, lambda one=worker_id: self._relist(one))

    def _relist(self, worker_id):
        self._world.unlisted.discard(worker_id)
        if worker_id in self._world.workers_by_id:
            self._world.list_worker(worker_id)

    def lose_answers(self):
        """Answers of workers are lost."""
        self._set_for(self._world.faults, "lost", 0.1)

    def delay_orders(self):
        """Orders are left unanswered and carried out late."""
        self._set_for(self._world.faults, "late", 0.2)

    def lose_advice(self):
        """Answers of the advice service are lost."""
        self._set_for(self._world, "lost_advice", self._rng.choice((0.1, 0.3, 0.6)))

    def refuse_tickets(self):
        """Workers refuse tickets."""
        self._set_for(self._world, "refused_tickets", 0.3)

    def _set_for(self, subject, name, value):
        setattr(subject, name, value)
        self._end_after(1, 5, lambda: setattr(subject, name, 0.0))

    def slow_store(self):
        """The store takes long."""
        self._world.record_s = (0.1, 0.8)
        end = lambda: setattr(self._world, "record_s", (0.0, 0.02))  # noqa: E731
        self._end_after(1, 5, end)

    def take_over(self):
        """A successor takes the cell; mostly it hears what the last one knew."""
        if self._rng.random() < 0.5:
            self._world.run_without_owner(self._rng.uniform(0.1, 1))
        self._world.take_over()

    def poison(self):
        """Jobs come of which every task fails."""
        for _ in range(self._rng.randint(2, 8)):
            name = self._rng.choice(("clash", "clash", "solve", "bell", "room"))
            # Before the owner hears of it: it may start at once.
            self._world.poison.add(f"{name}{len(self._world.submitted_by_id)}")
            submit(self._world, self._rng, name)

    def crash_by_task(self):
        """A job comes of which a task crashes its workers."""
        name = self._rng.choice(("clash", "solve", "room"))
        job_id = f"{name}{len(self._world.submitted_by_id)}"
        self._world.crashing.add((job_id, 0))
        submit(self._world, self._rng, name)

    def burst(self):
        """Many large jobs come."""
        name = self._rng.choice(("solve", "bell", "bell", "room"))
        for _ in range(self._rng.randint(4, 20)):
            submit(self._world, self._rng, name)


def play_site(seed, seconds=25):
    """Play a day of troubles, then calm.

    Args:
      seed: An int.
      seconds: An int, how long troubles come.
    Returns:
      A pair: the world, and the time at which calm began, a float.
    """
    rng = random.Random(seed)
    world = SiteWorld(cellworld.Faults(random.Random(seed + 1), late_s=(0.5, 6)))
    troubles = Troubles(rng, world)
    world.run(0.5)
    world.record_s = (0.0, 0.02)
    if rng.random() < 0.5:
        ids = [f"p{number}" for number in range(world.CALLERS)]
        rng.choice((world.mute_callers, world.failing_callers)).add(rng.choice(ids))
    calm_at = world.now + seconds
    trouble_a_s = rng.choice((0.3, 0.7, 1.2))
    load = rng.choice((0.5, 1.0, 1.5))
    while world.now < calm_at + CALM_S:
        is_calm = world.now >= calm_at
        for name, rate in JOBS_A_S.items():
            rate *= 0.5 if is_calm else load
            if rng.random() < rate * cellworld.STEP_S:
                submit(world, rng, name)
        if not is_calm and rng.random() < trouble_a_s * cellworld.STEP_S:
            troubles.befall()
        if is_calm:
            troubles.end_all()
        else:
            troubles.end_due()
        world.step()
        world.note_spells()
    return world, calm_at


def list_spells(world, calm_at):
    """List the spells that end after calm has begun, the longest first.

    Args:
      world: A SiteWorld that was played.
      calm_at: A float.
    Returns:
      A list of triples: how long, when it began, and the messages.StepKey.
    """
    return sorted(
        (
            (spell_s, at, key)
            for (key, at), spell_s in world.spells.items()
            if at + spell_s >= calm_at
        ),
        reverse=True,
    )


def main():
    """Play seeds and print what stood still, in calm and before."""
    first, count = int(sys.argv[1]), int(sys.argv[2])
    spells = []
    for seed in range(first, first + count):
        world, calm_at = play_site(seed)
        rows = list_spells(world, calm_at)
        spells += rows
        for spell_s, at, key in rows:
            if spell_s >= STUCK_S:
                print(f"{seed} {spell_s:.2f} s from {at - calm_at:.2f} s: {key}")
    for least_s in (TOLD_S, 2.0, STUCK_S, advisedplays.STUCK_S):
        print(f"{least_s} s and more: {sum(one[0] >= least_s for one in spells)}")


if __name__ == "__main__":
    main()
