"""Seeded plays of lasting tasks with dear advice, with calm after each trouble.

The cell is one whose lasting jobs need tickets that take seconds, beside batch jobs
that keep 40 to 90 percent of the room in use. By what the workers have alone, each
lasting task of a job that is not cancelled must run again within 9 s of its last run
and 7 s of the last trouble, once two workers have had room for it for 3 s.

`python -m tests.standingplays FIRST COUNT` prints the tasks that were late.
"""

import random
import sys

import msgspec

from tests import advisedworld, cellworld, worldlives
from thornport.cell.decisions import messages
from thornport.jobs import queue, record, spec

# Users count a task as lost when it has not run for 3 s beside room for it twice over:
# from 6 s after its last run, if these 3 s and the 4 s before them are calm.
ROOM_S = 3.0
DOWN_S = 9.0
CALM_S = 7.0
PLACES = 2
# An answer comes within a step of the world, and a new life is listed a step later.
SLACK_S = 3 * cellworld.STEP_S
# Timeouts of the processes: of a command, of a poll beyond its wait, and the time from
# a poll that failed to the next.
COMMAND_S = 0.25
POLL_S = 0.3
POLL_RETRY_S = 0.25

SIZES = (0.5, 1.0, 1.0, 2.0)
CORES = 64_000
MEMORY_MB = 262_000
STANDING = "standing"
PLAIN = "plain"
BATCH = "batch"
QUICK = "quick"
GOOD_BY_QUEUE = {STANDING: 0.3, PLAIN: 1.0, BATCH: 0.45, QUICK: 0.7}


def make_queue(name, priority, advice):
    """Make a queue of the service."""
    return queue.Queue(
        name,
        "h",
        f"/{name}/",
        worldlives.SERVICE,
        priority=priority,
        max_attempts=cellworld.QUEUE.max_attempts,
        stretch=3.0,
        target_ms=2500,
        advice=advice,
    )


QUEUE_BY_NAME = {
    STANDING: make_queue(STANDING, 1, queue.Advice(1165, 10.4)),
    PLAIN: make_queue(PLAIN, 1, None),
    BATCH: make_queue(BATCH, 2, queue.Advice(208, 2.99)),
    QUICK: make_queue(QUICK, 0, queue.Advice(16, 0.22)),
}


class LateTask(msgspec.Struct):
    """A lasting task that did not run although it had to.

    Attributes:
      key: Its messages.TaskKey.
      last_run_at: A float, when it last ran; None if it never did.
      disturbed_at: A float, the end of the last trouble.
      trouble: The names of the last troubles.
      late_s: A float, for how long it did not run beyond what is allowed.
      since: A float, when that began.
    """

    key: messages.TaskKey
    last_run_at: float | None
    disturbed_at: float
    trouble: str
    late_s: float
    since: float


class DelayedOutcome(msgspec.Struct, frozen=True):
    """The outcome of a command without an answer, known to its owner at `due`."""

    due: float
    owner: object
    order: messages.StartOrder | messages.StopOrder
    outcome: messages.Unanswered


class StandingWorld(advisedworld.AdvisedWorld):
    """A cell of lasting tasks in which calls without an answer take their timeouts.

    Attributes:
      unhealthy: Ids of workers that refuse all starts.
      refused_tickets: A float, the chance that a worker refuses a ticket.
      disturbed_at: A float, when something was last wrong.
      trouble: A str, the names of the last troubles.
      late_by_run: The LateTasks by their keys and their last runs.
    """

    CONFIG = queue.Config(1, tuple(QUEUE_BY_NAME.values()))

    def __init__(self, faults, worker_count, callers, has_start_times):
        """Begin.

        Args:
          faults, worker_count: As for the world.
          callers: An int, how many processes call for advice.
          has_start_times: A bool, whether workers state when they started.
        """
        self.CALLERS = callers
        self.unhealthy = set()
        self.refused_tickets = 0.0
        self.disturbed_at = 0.0
        self.trouble = ""
        self.late_by_run = {}
        self._has_start_times = has_start_times
        self._last_run_at = {}
        self._room_since = {}
        self._outcomes = []
        self._quiet_until = {}
        super().__init__(faults, worker_count)
        # A start is barred at a later life by its ticket alone, which lapses sooner
        # than the start arrives.
        self.has_tickets = False

    def _set_up_lives(self, worker_count, clock_rate, states_starts):
        super()._set_up_lives(worker_count, clock_rate, self._has_start_times)

    def _begin_life(self, worker_id, began_at):
        super()._begin_life(worker_id, began_at)
        size = self.faults.rng.choice(SIZES)
        self.workers_by_id[worker_id].total = spec.Demand(
            int(CORES * size), int(MEMORY_MB * size)
        )

    def is_good(self, step_key, worker_id):
        """By the queue of the job."""
        name = self.submitted_by_id[step_key.job_id].queue.name
        self.good_share = GOOD_BY_QUEUE[name]
        return super().is_good(step_key, worker_id)

    # Calls.

    def take_over(self, is_known_gone=True, tells_lapses=None):
        """As the world's; the polls of the earlier owner are over."""
        self._quiet_until.clear()
        super().take_over(is_known_gone, tells_lapses)

    def _pass_time(self):
        super()._pass_time()
        due = [one for one in self._outcomes if one.due <= self.now]
        self._outcomes = [one for one in self._outcomes if one.due > self.now]
        for one in due:
            if one.owner is self.owner:
                super()._take_outcome(one.order, one.outcome)

    def _take_outcome(self, order, outcome):
        """Have a command without an answer time out."""
        if isinstance(outcome, messages.Unanswered):
            due = self.now + COMMAND_S
            self._outcomes.append(DelayedOutcome(due, self.owner, order, outcome))
        else:
            super()._take_outcome(order, outcome)

    def _do(self, worker, order):
        if not isinstance(order, messages.StartOrder):
            return cellworld.World._do(self, worker, order)
        if worker.worker_id in self.unhealthy:
            return messages.Rejected(messages.Rejection.UNHEALTHY)
        if self.submitted_by_id[order.key.job_id].queue.advice is None:
            return cellworld.World._do(self, worker, order)
        if self.faults.draw(self.refused_tickets):
            return messages.Rejected(messages.Rejection.TICKET)
        return super()._do(worker, order)

    def _is_answering(self, worker_id):
        is_there = worker_id in self.workers_by_id and worker_id not in self.cut
        return worker_id in self.refusing or (
            is_there and worker_id not in self.silenced
        )

    def _look(self, worker_id):
        """As the world's; a poll that nobody answers takes its timeout."""
        if self.now < self._quiet_until.get(worker_id, 0.0):
            return
        look = self.open_looks.get(worker_id) or self._send_look(worker_id)
        if look is None:
            return
        self.open_looks[worker_id] = look
        is_answering = self._is_answering(worker_id)
        if not is_answering and self.now < look.due + POLL_S:
            return
        super()._look(worker_id)
        if not is_answering:
            self._quiet_until[worker_id] = self.now + POLL_RETRY_S

    def _end_life(self, worker_id):
        look = self.open_looks.get(worker_id)
        super()._end_life(worker_id)
        if look is not None and not self.breaks_off:
            self.open_looks[worker_id] = look

    def lose(self, worker_id, is_refusing):
        """Lose a worker for good.

        Args:
          worker_id: A str.
          is_refusing: A bool, whether its port refuses; else nothing answers.
        """
        self.disturbed_at = self.now
        self._end_life(worker_id)
        if is_refusing:
            self.refusing.add(worker_id)
        entry, _ = self.entries_by_id.get(worker_id, (None, None))
        self._lapsing.append((self.now + worldlives.ENTRY_S, entry))

    def crash_for_a_while(self, worker_id, is_silent=False, back_s=None):
        """As the world's; it disturbs until another life is there."""
        away_s = self.back_s if back_s is None else back_s
        self.disturbed_at = max(self.disturbed_at, self.now + away_s)
        super().crash_for_a_while(worker_id, is_silent, back_s)

    # Lasting tasks.

    def _keep_lasting(self):
        """Let the lasting tasks go on that do not fail."""
        for worker in self.workers_by_id.values():
            for active in worker.active_by_key.values():
                if self._read_spec(active.key).lasting and not active.fails:
                    active.ends_at_ms = advisedworld.FAR_MS

    def list_standing(self):
        """List the records of the lasting jobs that are not cancelled."""
        return [
            kept
            for kept in self.submitted_by_id.values()
            if kept.job.steps[0].lasting and kept.job_id not in self.cancelled
        ]

    def step(self):
        """Let a little time pass, and note the lasting tasks that are late."""
        super().step()
        for worker in self.workers_by_id.values():
            for key in worker.active_by_key:
                self._last_run_at[key] = self.now
        for kept in self.list_standing():
            self._note_late(kept)

    def _note_late(self, kept):
        job_id = kept.job_id
        step = kept.job.steps[0]
        keys = [messages.TaskKey(job_id, 0, 0, index) for index in range(step.count)]
        away = [key for key in keys if self._last_run_at.get(key) != self.now]
        if not away or not self._has_room(kept, step):
            self._room_since.pop(job_id, None)
            return
        room_since = self._room_since.setdefault(job_id, self.now)
        calm_at = self.disturbed_at + CALM_S
        for key in away:
            last_run_at = self._last_run_at.get(key)
            if last_run_at is None:
                due_at = kept.accepted_at_ms / 1000 + ROOM_S + self._read_advice_s(kept)
            else:
                due_at = last_run_at + DOWN_S
            due_at = max(due_at, calm_at, room_since + ROOM_S) + SLACK_S
            if self.now > due_at:
                late = self.late_by_run.setdefault(
                    (key, last_run_at),
                    LateTask(
                        key, last_run_at, self.disturbed_at, self.trouble, 0.0, due_at
                    ),
                )
                late.late_s += cellworld.STEP_S

    def _read_advice_s(self, kept):
        """How long a call for advice on all workers takes."""
        advice = kept.queue.advice
        if advice is None:
            return 0.0
        count = min(100, len(self.workers_by_id))
        return (advice.base_ms + advice.worker_ms * count) / 1000

    def _has_room(self, kept, step):
        """Whether two good workers in reach that are listed have room for a task."""
        key = messages.StepKey(kept.job_id, 0, 0)
        places = 0
        for worker_id, worker in self.workers_by_id.items():
            if not self._is_usable(worker) or not self.is_good(key, worker_id):
                continue
            free = worker.total
            held = 0
            for active in worker.active_by_key.values():
                free = free.subtract(active.demand)
                held += active.key.job_id == kept.job_id
            if held >= (step.max_per_worker or spec.MAX_TASKS):
                continue
            places += step.demand.fits(free)
            if places >= PLACES:
                return True
        return False

    def _is_usable(self, worker):
        worker_id = worker.worker_id
        entry, _ = self.entries_by_id.get(worker_id, (None, 0))
        out = self.failing | self.unhealthy | self.cut | self.silenced | self.refusing
        return (
            entry is not None
            and entry.state is messages.WorkerState.READY
            and entry.started_at_ms == worker.started_at_ms
            and worker_id not in out
            and worker.hung_at_ms is None
        )

    def read_use(self):
        """The share of the room that is in use, a float."""
        return self._read_use()


def submit(world, name, *steps):
    """Hand in a job to a queue; its id."""
    job_id = f"{name}{len(world.submitted_by_id)}"
    job = spec.Job("text", steps)
    accepted_at_ms = int(world.now * 1000)
    world.submit(record.JobRecord(job_id, QUEUE_BY_NAME[name], job, accepted_at_ms))
    return job_id


def submit_standing(world, rng):
    """Hand in a lasting job; few need no advice."""
    name = PLAIN if rng.random() < 0.2 else STANDING
    demand = spec.Demand(rng.randint(11_000, 26_000), rng.randint(26_000, 89_000))
    most = rng.choice((0, 0, 1, 2))
    count = rng.randint(4, 10 if most else 18)
    step = spec.Step(count, demand, 620, lasting=True, max_per_worker=most)
    return submit(world, name, step)


def submit_batch(world, rng):
    """Hand in a batch job of one step or two."""
    steps = []
    for number in range(rng.choice((1, 2))):
        demand = spec.Demand(rng.randint(8_000, 30_000), rng.randint(20_000, 120_000))
        run_ms = int(min(11_000, rng.lognormvariate(8.3, 0.5)))
        after = (number - 1,) if number else ()
        most = rng.choice((0, 0, 0, 1))
        steps.append(
            spec.Step(
                rng.randint(3, 20), demand, run_ms, after=after, max_per_worker=most
            )
        )
    return submit(world, BATCH, *steps)


def submit_quick(world, rng):
    """Hand in an urgent job of short tasks."""
    demand = spec.Demand(rng.randint(5_000, 18_000), rng.randint(10_000, 60_000))
    step = spec.Step(rng.randint(1, 12), demand, rng.randint(200, 1_400))
    return submit(world, QUICK, step)


class Troubles:
    """What befalls the cell; each is over after some seconds."""

    def __init__(self, rng, world):
        """Take the world."""
        self._rng = rng
        self._world = world
        self._ends = []
        self._all = (
            self.lose,
            self.lose,
            self.lose_with_owner,
            self.restart,
            self.cut,
            self.silence,
            self.drain,
            self.drain_long,
            self.lose_answers,
            self.delay_orders,
            self.lose_advice,
            self.mute_callers,
            self.refuse_tickets,
            self.slow_store,
            self.lose_store,
            self.replace_owner,
            self.replace_owner_twice,
            self.fail_all,
            self.hang,
            self.crash_by_task,
            self.poison,
            self.refuse_starts,
            self.list_late,
            self.restart_in_place,
            self.come_gangs,
            self.end_some,
        )

    @property
    def is_over(self):
        """Whether none goes on, a bool."""
        return not self._ends

    def befall(self):
        """Let one of them happen, or two."""
        chosen = self._rng.sample(self._all, self._rng.choice((1, 1, 2)))
        self._world.trouble = "+".join(one.__name__ for one in chosen)
        for one in chosen:
            one()

    def end_due(self):
        """End those that are due."""
        if self._ends:
            self._world.disturbed_at = max(self._world.disturbed_at, self._world.now)
        due = [end for at, end in self._ends if at <= self._world.now]
        self._ends = [pair for pair in self._ends if pair[0] > self._world.now]
        for end in due:
            end()

    def _end_after(self, least_s, most_s, end):
        at = self._world.now + self._rng.uniform(least_s, most_s)
        self._ends.append((at, end))

    def _disturb(self):
        self._world.disturbed_at = max(self._world.disturbed_at, self._world.now)

    def _draw_workers(self, counts=(1, 2, 3, 5, 8)):
        """Draw workers, mostly with lasting tasks; others than the last few."""
        world = self._world
        ids = sorted(
            worker_id
            for worker_id in world.workers_by_id
            if worker_id not in world.cut | world.silenced
        )
        busy = [
            one
            for one in ids
            if any(
                world.submitted_by_id[key.job_id].job.steps[key.step].lasting
                for key in world.workers_by_id[one].active_by_key
            )
        ]
        if busy and self._rng.random() < 0.8:
            ids = busy
        return self._rng.sample(ids, min(len(ids), self._rng.choice(counts)))

    def lose(self):
        """Workers are lost for good."""
        is_refusing = self._rng.random() < 0.4
        for worker_id in self._draw_workers():
            self._world.lose(worker_id, is_refusing)

    def replace_owner(self):
        """A successor takes the cell; mostly it hears what the last one knew."""
        self._disturb()
        self._world.run_without_owner(self._rng.uniform(0.1, 1.5))
        tells_lapses = self._rng.random() < 0.5
        self._world.trouble += f"({'told' if tells_lapses else 'untold'})"
        self._world.take_over(is_known_gone=True, tells_lapses=tells_lapses)

    def lose_with_owner(self):
        """Workers are lost as the owner is replaced, before it or after."""
        if self._rng.random() < 0.5:
            self.lose()
            self._world.run(self._rng.choice((0.0, 0.2, 1.0, 3.0)))
            self.replace_owner()
        else:
            self.replace_owner()
            self._world.run(self._rng.choice((0.0, 0.2, 1.0)))
            self.lose()

    def replace_owner_twice(self):
        """Two successors follow one another."""
        self.replace_owner()
        self._world.run(self._rng.uniform(0.3, 3))
        self.replace_owner()

    def restart(self):
        """Workers end; other lives take their places under new ids."""
        self._world.back_s = self._rng.uniform(0.5, 5)
        self._world.keeps_id = self._world.states_starts and self._rng.random() < 0.5
        for worker_id in self._draw_workers():
            self._world.crash_for_a_while(worker_id)

    def restart_in_place(self):
        """Workers that state their starts begin again under their ids."""
        if not self._world.states_starts:
            return self.restart()
        self._disturb()
        for worker_id in self._draw_workers():
            is_listed = self._rng.random() < 0.7
            self._world.restart(worker_id, is_listed)
            if not is_listed:
                self._world.unlisted.add(worker_id)
                self._end_after(0.3, 3, lambda one=worker_id: self._relist(one))
        return None

    def _relist(self, worker_id):
        self._world.unlisted.discard(worker_id)
        if worker_id in self._world.workers_by_id:
            self._world.list_worker(worker_id)

    def list_late(self):
        """The entry of a worker that has ended is written late."""
        entries = [entry for entry, _ in self._world.entries_by_id.values()]
        self.restart()
        for entry in entries:
            if entry.worker_id not in self._world.workers_by_id:
                end = lambda one=entry: self._world.list_again(one)  # noqa: E731
                self._end_after(0.5, 6, end)
                drop = lambda one=entry: self._drop(one)  # noqa: E731
                self._end_after(7, 9, drop)

    def _drop(self, entry):
        if self._world.entries_by_id.get(entry.worker_id, (None, 0))[0] == entry:
            self._world._drop_entry(entry.worker_id)

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
        self._end_after(0.5, 14, end)

    def drain(self):
        """Workers are taken away at short notice."""
        self._drain(self._rng.uniform(1, 4))

    def drain_long(self):
        """Workers are emptied and taken away."""
        self._drain(self._rng.uniform(8, 20))

    def _drain(self, notice_s):
        self._disturb()
        drawn = self._draw_workers()
        state = messages.WorkerState.DRAINING
        for worker_id in drawn:
            if worker_id in self._world.entries_by_id:
                self._world.list_worker(worker_id, state, int(notice_s * 1000))
        is_silent = self._rng.random() < 0.3
        self._end_after(
            notice_s, notice_s + 1.5, lambda: self._take_away(drawn, is_silent)
        )

    def _take_away(self, worker_ids, is_silent):
        self._disturb()
        for worker_id in worker_ids:
            if worker_id in self._world.workers_by_id and is_silent:
                self._world.lose(worker_id, is_refusing=False)
            elif worker_id in self._world.workers_by_id:
                self._world.leave(worker_id)

    def lose_answers(self):
        """Answers of workers are lost."""
        self._set_for(self._world.faults, "lost", self._rng.choice((0.1, 0.4)))

    def delay_orders(self):
        """Orders are left unanswered and carried out late."""
        self._set_for(self._world.faults, "late", self._rng.choice((0.2, 0.6)))

    def lose_advice(self):
        """Answers of the advice service are lost."""
        self._set_for(self._world, "lost_advice", self._rng.choice((0.1, 0.3, 0.9)))

    def refuse_tickets(self):
        """Workers refuse tickets."""
        self._set_for(self._world, "refused_tickets", 0.5)

    def _set_for(self, subject, name, value):
        setattr(subject, name, value)
        self._end_after(1, 6, lambda: setattr(subject, name, 0.0))

    def mute_callers(self):
        """Calls of some processes for advice have no answer, or fail at once."""
        calls = (self._world.mute_callers, self._world.failing_callers)
        callers = self._rng.choice(calls)
        ids = [f"p{number}" for number in range(self._world.CALLERS)]
        callers.update(self._rng.sample(ids, self._rng.choice((1, 2, 4))))
        self._end_after(2, 8, callers.clear)

    def slow_store(self):
        """The store takes long."""
        self._world.record_s = self._rng.choice(((0.1, 0.8), (0.8, 2.5)))
        end = lambda: setattr(self._world, "record_s", (0.0, 0.02))  # noqa: E731
        self._end_after(1, 6, end)

    def lose_store(self):
        """The store is away."""
        self._world.is_store_away = True
        end = lambda: setattr(self._world, "is_store_away", False)  # noqa: E731
        self._end_after(1, 8, end)

    def fail_all(self):
        """Some workers fail all that they start."""
        ids = set(self._draw_workers())
        self._world.failing |= ids
        for worker_id in ids:
            for active in self._world.workers_by_id[worker_id].active_by_key.values():
                self._fail(worker_id, active)
        self._end_after(2, 9, lambda: self._world.failing.difference_update(ids))

    def _fail(self, worker_id, active):
        worker = self._world.workers_by_id[worker_id]
        active.fails = True
        active.ends_at_ms = worker.read_clock_ms(self._world.now) + 100

    def end_some(self):
        """Some lasting tasks fail by themselves, which disturbs nothing."""
        for worker_id in self._draw_workers():
            for active in self._world.workers_by_id[worker_id].active_by_key.values():
                if self._world._read_spec(active.key).lasting:
                    self._fail(worker_id, active)

    def hang(self):
        """Tasks on some workers stand still."""
        ids = self._draw_workers()
        for worker_id in ids:
            self._world.workers_by_id[worker_id].hang(self._world.now)
        self._end_after(1, 7, lambda: self._wake(ids))

    def _wake(self, ids):
        for worker_id in ids:
            if worker_id in self._world.workers_by_id:
                self._world.workers_by_id[worker_id].hung_at_ms = None

    def crash_by_task(self):
        """A job comes of which a task crashes its workers."""
        self._disturb()
        self._world.back_s = 3.0
        self._world.keeps_id = False
        submitted = len(self._world.submitted_by_id)
        name = self._rng.choice((QUICK, BATCH))
        self._world.crashing.add((f"{name}{submitted}", 0))
        (submit_quick if name == QUICK else submit_batch)(self._world, self._rng)

    def poison(self):
        """Jobs come of which every task fails."""
        for _ in range(self._rng.randint(2, 6)):
            submitted = len(self._world.submitted_by_id)
            self._world.poison.add(f"{QUICK}{submitted}")
            submit_quick(self._world, self._rng)

    def refuse_starts(self):
        """Some workers refuse all starts."""
        ids = set(self._draw_workers((2, 5, 8)))
        self._world.unhealthy |= ids
        self._end_after(2, 8, lambda: self._world.unhealthy.difference_update(ids))

    def come_gangs(self):
        """Gangs come, which need room on several workers at once."""
        for _ in range(self._rng.randint(2, 5)):
            demand = spec.Demand(self._rng.choice((20_000, 31_000, 60_000)), 60_000)
            count = self._rng.randint(2, 5)
            submit(self._world, BATCH, spec.Step(count, demand, 4_000, gang=True))


class PlayWorld(StandingWorld):
    """Adds jobs whose tasks fail wherever they run."""

    def __init__(self, *arguments):
        """As the world's."""
        self.poison = set()
        super().__init__(*arguments)

    def _doom(self, order, worker):
        super()._doom(order, worker)
        active = worker.active_by_key.get(order.key)
        if active is not None and order.key.job_id in self.poison:
            active.fails = True


def play_standing(seed, troubles_count=4):
    """Play troubles one after another, with calm after each.

    Args:
      seed: An int.
      troubles_count: An int, how many times troubles come.
    Returns:
      The PlayWorld.
    """
    rng = random.Random(seed)
    faults = cellworld.Faults(random.Random(seed + 1))
    world = PlayWorld(
        faults, rng.choice((24, 40, 40, 60)), rng.choice((8, 16)), rng.random() < 0.25
    )
    world.breaks_off = rng.random() < 0.5
    world.record_s = (0.0, 0.02)
    troubles = Troubles(rng, world)
    world.run(0.5)
    for _ in range(rng.choice((2, 3, 5, 8))):
        submit_standing(world, rng)
    load = rng.uniform(0.4, 0.9)
    befalls_at = world.now + 15
    count = 0
    while True:
        submit_load(world, rng, load)
        troubles.end_due()
        if troubles.is_over and world.now >= befalls_at:
            if count == troubles_count:
                return world
            troubles.befall()
            count += 1
            befalls_at = world.now + rng.uniform(12, 20)
        elif not troubles.is_over:
            befalls_at = max(befalls_at, world.now + 12)
        world.step()


def submit_load(world, rng, load):
    """Keep a share of the room in use; lasting jobs come and are cancelled."""
    if rng.random() < 0.2 * cellworld.STEP_S:
        submit_quick(world, rng)
    if rng.random() < 0.03 * cellworld.STEP_S:
        standing = world.list_standing()
        if len(standing) > 2:
            world.cancel(rng.choice(standing).job_id)
        submit_standing(world, rng)
    if rng.random() < 4 * cellworld.STEP_S and world.read_use() < load:
        waiting = sum(
            kept.queue.name == BATCH and kept.end_state is None
            for kept in world.jobs_by_id.values()
        )
        if waiting < 10:
            submit_batch(world, rng)


def main():
    """Play seeds and print the lasting tasks that were late."""
    first, count = int(sys.argv[1]), int(sys.argv[2])
    broken = 0
    for seed in range(first, first + count):
        world = play_standing(seed)
        broken += any(
            late.last_run_at is not None for late in world.late_by_run.values()
        )
        for late in world.late_by_run.values():
            kind = "late" if late.last_run_at is not None else "new"
            print(f"{seed} {kind} {late}", flush=True)
    print(f"{broken} of {count} seeds have a task that was late")


if __name__ == "__main__":
    main()
