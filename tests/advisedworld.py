"""A world of tests with advice: unlike workers, gangs, lasting tasks, slow records.

As in `cellworld`, the rules of the users are checked at each start. Here a start needs
a ticket that holds, members of a gang work only together, and records may take long or
be lost with their owner. `find_stuck` tells by what the workers have, and by nothing
that an owner knows, which steps stand still though most of the room is free.
"""

import collections

import msgspec
import xxhash

from tests import cellworld
from thornport.cell.decisions import messages, ticketing
from thornport.jobs import queue, record, spec

VALID_S = 2.0
FAR_MS = 10**12
GREET_S = 0.5
LANES = 6
CALLERS = 5
MAX_IN_USE = 0.5  # of a resource, beyond which a job may wait for room
# Rooms of lives: wholes of the usual worker of 32 cores, with accelerators or none.
SIZES = (1.0, 1.0, 0.5, 2.0)
QUEUES = tuple(
    queue.Queue(
        name,
        "h",
        f"/{name}/",
        "press-desk",
        priority=priority,
        max_attempts=cellworld.QUEUE.max_attempts,
        stretch=3.0,
        target_ms=2000,
        advice=queue.Advice(base_ms, worker_ms),
    )
    for name, priority, base_ms, worker_ms in (
        ("urgent", 0, 13, 0.19),
        ("dear", 1, 490, 7.0),
        ("usual", 2, 140, 2.0),
    )
)
CONFIG = queue.Config(1, QUEUES)


class OpenAdvice(msgspec.Struct, frozen=True):
    """A call for advice on its way back, at `due`; lost with its owner."""

    due: float
    call: ticketing.CallAdvice
    owner: object


class OpenBatch(msgspec.Struct, frozen=True):
    """A batch that the store will have at `due`."""

    due: float
    sent_at: float
    batch: object


class AdvisedWorld(cellworld.World):
    """A store, advice, unlike workers and the owners of a cell.

    Attributes:
      good_share: A float, of the workers that may run a step.
      good_by_job: Sets of worker ids by job id, where a test chooses them.
      lost_advice: A float, the chance that a call for advice has no answer.
      record_s: A pair of floats, how long the store takes to keep a batch.
      lose_advice_calls: An int, how many calls are yet to have no answer.
      mute_callers: Names of processes whose calls for advice have no answer.
      failing_callers: Names of processes whose calls fail at once.
    """

    CONFIG = CONFIG
    CALLERS = CALLERS

    def __init__(self, faults, worker_count, sizes=SIZES, gpus=(0,), good_share=0.45):
        """Begin.

        Args:
          faults, worker_count: As for the world.
          sizes: Floats, what lives of workers may have of the usual worker's room.
          gpus: Ints, the accelerators that they may have.
          good_share: A float, of the workers that may run a step.
        """
        self.good_share = good_share
        self.good_by_job = {}
        self.lost_advice = 0.0
        self.lose_advice_calls = 0
        self.mute_callers = set()
        self.failing_callers = set()
        self.record_s = (0.0, 0.0)
        self._sizes = sizes
        self._gpus = gpus
        self._advice = []
        self._batches = []
        self._greeted_at = -GREET_S
        self._void_by_life = {}
        self._void_ends = set()
        self._idle_since = {}
        super().__init__(faults, worker_count, looks_wait=True)
        self.config = self.CONFIG
        self.owner.take_config(self.config, self.now)

    def _begin_life(self, worker_id, began_at):
        super()._begin_life(worker_id, began_at)
        rng = self.faults.rng
        size = rng.choice(self._sizes)
        self.workers_by_id[worker_id].total = spec.Demand(
            int(32_000 * size), int(131_072 * size), rng.choice(self._gpus)
        )

    def restart_lost(self, worker_id):
        """A worker that was lost is there again under its id, or a new one is."""
        self._begin_life(worker_id, self.now)
        self.list_worker(worker_id)

    def take_open_advice(self):
        """Take the calls for advice that have no answer; a list of CallAdvice."""
        taken, self._advice = self._advice, []
        return [one.call for one in taken]

    def take_over(self, is_known_gone=True, tells_lapses=None):
        """As the world's; what was being kept is in the store, or never will be."""
        for opened in self._batches:
            if self.faults.draw(0.5):
                self._apply(opened.batch)
        self._batches = []
        super().take_over(is_known_gone, tells_lapses)
        self._greet()

    def submit(self, kept):
        """Keep a job; the owner hears of it before, and of its keeping or not."""
        self.owner.take_incoming(kept, self.now)
        super().submit(kept)

    def step(self):
        """Let a little time pass."""
        if self.now - self._greeted_at >= GREET_S:
            self._greet()
        super().step()
        self._answer_advice()

    def _greet(self):
        self._greeted_at = self.now
        for number in range(self.CALLERS):
            self.owner.callers.greet(f"p{number}", f"p{number}:1", True, 1.0, self.now)

    # Advice.

    def is_good(self, step_key, worker_id):
        """Whether a worker may run a step; it never changes."""
        chosen = self.good_by_job.get(step_key.job_id)
        if chosen is not None:
            return worker_id in chosen
        name = f"{step_key.job_id}.{step_key.step}.{worker_id}"
        return xxhash.xxh3_64_intdigest(name.encode()) % 1000 < 1000 * self.good_share

    def _carry_out(self):
        others = []
        for order in self.owner.take_commands():
            if isinstance(order, ticketing.CallAdvice):
                self._call_advice(order)
            else:
                others.append(order)
        self.owner.commands = others
        super()._carry_out()

    def _call_advice(self, call):
        is_lost = self.faults.draw(self.lost_advice) or self.lose_advice_calls > 0
        self.lose_advice_calls -= self.lose_advice_calls > 0
        if is_lost or call.name in self.mute_callers:
            return
        due = max(self.now, call.deadline - 0.5)
        if call.name in self.failing_callers:
            due = self.now
        self._advice.append(OpenAdvice(due, call, self.owner))

    def _answer_advice(self):
        due = [one for one in self._advice if one.due <= self.now]
        self._advice = [one for one in self._advice if one.due > self.now]
        for one in due:
            request = one.call.request
            good = tuple(
                messages.Ticket(worker_id, f"{self.now + VALID_S}")
                for worker_id in request.worker_ids
                if worker_id in self.workers_by_id
                and self.is_good(request.step, worker_id)
            )
            if one.owner is self.owner:
                answer = messages.AdviceAnswer(good, int(VALID_S * 1000))
                if one.call.name in self.failing_callers:
                    answer = None
                self.owner.take_advice(request, answer, self.now)

    def _do(self, worker, order):
        if isinstance(order, messages.StartOrder):
            is_late = not order.ticket or float(order.ticket) < self.now
            if is_late or not self.is_good(read_step(order.key), worker.worker_id):
                return messages.Rejected(messages.Rejection.TICKET)
        return super()._do(worker, order)

    # Records.

    def _apply(self, batch):
        self.progress_by_id.update(batch.progress_by_job)
        for job_id, value in batch.closed_by_job.items():
            self.jobs_by_id[job_id] = record.decode_job(value)
            self.progress_by_id.pop(job_id, None)

    def _keep(self):
        if self.is_store_away:
            return
        self.owner.take_persisted(None, self.now, self.now)
        while True:
            due = [one for one in self._batches if one.due <= self.now]
            self._batches = [one for one in self._batches if one.due > self.now]
            for one in due:
                self._apply(one.batch)
                self.owner.take_persisted(one.batch, one.sent_at, self.now)
            if len(self._batches) >= LANES:
                return
            batch = self.owner.make_batch()
            if batch is None:
                return
            took_s = self.faults.rng.uniform(*self.record_s)
            self._batches.append(OpenBatch(self.now + took_s, self.now, batch))

    def check_start(self, order, worker):
        """As the world's; an end does not count if the lease lapsed before it was seen.

        That a run is over is known once its lease has lapsed, and it may start again.
        """
        for life, void in self._void_by_life.items():
            life.noted_done -= void
            self.noted_done -= void - life.noted_done
        super().check_start(order, worker)

    def _note_lapses(self):
        for worker in self.workers_by_id.values():
            if worker.read_clock_ms(self.now) >= worker._deadline_ms:
                void = {row.key for row in worker.ended}
                self._void_by_life.setdefault(worker, set()).update(void)
                self._void_ends.update(
                    (worker, row.number, row.key)
                    for row in worker.ended
                    if row.kind is messages.EndKind.FAILED
                )

    def count_noted_failures(self, key):
        """As the world's, without ends that were told after the lease had lapsed."""
        void = sum(
            one == key and all(row.number != number for row in worker.ended)
            for worker, number, one in self._void_ends
        )
        return super().count_noted_failures(key) - void

    def check_attempts(self, order):
        """As the world's; lasting tasks have no limit."""
        if not self._read_spec(order.key).lasting:
            super().check_attempts(order)

    # Lasting tasks.

    def _pass_time(self):
        self._keep_lasting()
        super()._pass_time()
        self._note_lapses()

    def _keep_lasting(self):
        """Let the lasting tasks go on until they are stopped."""
        for worker in self.workers_by_id.values():
            for active in worker.active_by_key.values():
                if self._read_spec(active.key).lasting:
                    active.ends_at_ms = FAR_MS

    # What stands still.

    def find_stuck(self, least_s):
        """Find steps that could have run for so long and did not.

        Returns:
          A list of messages.StepKey.
        """
        idle = set(self._list_idle())
        self._idle_since = {key: self._idle_since.get(key, self.now) for key in idle}
        return [key for key, at in self._idle_since.items() if self.now - at >= least_s]

    def _list_idle(self):
        if self._read_use() >= MAX_IN_USE:
            return
        done = self._list_done()
        active = [
            key
            for worker in self.workers_by_id.values()
            for key in worker.active_by_key
        ]
        busy_jobs = {key.job_id for key in active}
        count_by_step = collections.Counter(read_step(key) for key in active)
        done_by_step = collections.Counter(read_step(key) for key in done)
        for kept in self.jobs_by_id.values():
            if kept.end_state is not None or kept.job_id in self.cancelled:
                continue
            for key, step in self._list_due(kept, done_by_step):
                if kept.job_id in busy_jobs and not step.lasting:
                    continue
                waits = count_by_step[key] < step.count
                if waits and self._count_places(key, step) >= 2 * count_together(step):
                    yield key

    def _list_done(self):
        """List the TaskKeys that are done, told or not; a set."""
        lives = [*self.workers_by_id.values(), *self.ended_lives]
        done = {key for life in lives for key in life.noted_done} | self.noted_done
        for life in lives:
            is_done = messages.EndKind.DONE
            done |= {row.key for row in life.ended if row.kind is is_done}
        return done

    def _list_due(self, kept, done_by_step):
        """List the steps whose turn has come and that are not done, with their keys."""
        job = kept.job
        for time in range(max(1, job.repeats)):
            if self.now * 1000 < job.first_at_ms + time * job.interval_ms:
                return
            is_done_by_number = []
            for number, step in enumerate(job.steps):
                key = messages.StepKey(kept.job_id, time, number)
                # Of a gang one end stands for all.
                wanted = 1 if step.gang else step.count
                is_done_by_number.append(done_by_step[key] >= wanted)
                is_due = all(is_done_by_number[earlier] for earlier in step.after)
                if is_due and not is_done_by_number[number]:
                    yield key, step

    def _count_places(self, key, step):
        """Count the tasks of a step that its good workers have room for."""
        places = 0
        for worker in self._list_judged():
            if not self.is_good(key, worker.worker_id):
                continue
            free = worker.total
            held = 0
            for one in worker.active_by_key.values():
                free = free.subtract(one.demand)
                held += read_step(one.key) == key
            most = (step.max_per_worker or spec.MAX_TASKS) - held
            places += step.demand.count_in(free, max(0, most))
        return places

    def _list_judged(self):
        """List the workers whose room counts in what stands still."""
        return self.workers_by_id.values()

    def _read_use(self):
        used = total = spec.Demand()
        for worker in self._list_judged():
            total = total.add(worker.total)
            for one in worker.active_by_key.values():
                used = used.add(one.demand)
        return used.compute_dominant_share(total)


def count_together(step):
    """Count the tasks of a step that must start together."""
    return step.count if step.gang else 1


def read_step(key):
    """The messages.StepKey of a task."""
    return messages.StepKey(key.job_id, key.time, key.step)
