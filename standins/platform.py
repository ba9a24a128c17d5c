"""A stand-in for the users' platform: store, workers and advice, one process.

It speaks the platform's published interface. `POST /faults` on the store's
address sets what goes wrong: `away` (silent to all; what came meanwhile is done
once it is back), `lose_writes` (apply, then say nothing), `forgets` (the history
goes), `revokes` (every lease ends at once, with its keys), `keeps_leases` (none runs
out), `slow_ms` (each call waits that long), `late_starts_ms` (workers leave starts
unanswered and carry them out that much later), `unlisted` (workers live, but their
entries are gone while this is set), `failing` (so many workers fail all that they
start), `refuses_starts` (workers answer starts with 503). `POST /crash` replaces a
worker by another life, `POST /room?cores=N` changes what each worker has while it runs.
A task of a job whose text is `crash` crashes the worker that starts it; another life
takes its address.
`GET /seen` tells what the workers saw; its `late_starts` counts the starts that are yet
to be carried out, its `most_by_text` the most millicores that the jobs of one text had
running at once, its `percent_by_task` the progress of what runs.
`POST /restart?keeps_id=1&late_ms=N&pick=M` ends a worker that runs something, if one
does, the busiest or the one M places behind it, and starts another life at its address,
under its id or another; after N ms, if that is not 0, an entry of the ended life is
written once more. `worker=ID` names the worker to restart instead, and `dark_ms=N`
keeps its address silent for N ms before the next incarnation is there.
`POST /cut?worker=ID&for_ms=N` cuts a worker off from all callers while its tasks go on:
connections are accepted, but nothing is carried out or answered. Tasks of a lasting
step run until they are stopped.
"""

import base64
import collections
import itertools
import time

import klein
import msgspec
from twisted.internet import defer, reactor, task

from standins import (
    gangs,
    leased_worker,
    platform_store,
    platform_worker,
    serve,
    transaction_store,
)
from thornport.jobs import record, spec
from thornport.platform import entries, names

TICK_S = 0.02
ADVICE_VALID_MS = 1500
SLOW_CLOCK = 0.98
LATE_ENTRY_S = 1.0  # an entry that came late stands for so long


class Options(msgspec.Struct):
    """Options of the command line.

    Attributes:
      advice_silent_every: An int, of so many calls for advice one is left without an
        answer; 0 for none.
      max_hold_ms: An int, the longest lease that workers grant.
      uptime_ms: An int, what the clocks of the first workers show when the platform
        starts; the clock of a later incarnation begins at 0.
    """

    workers: int = 3
    cores: int = 64
    runtime_share: float = 1.0
    advice_silent_every: int = 0
    max_hold_ms: int = leased_worker.MAX_HOLD_MS
    uptime_ms: int = 0


class Place(msgspec.Struct, frozen=True):
    """Where a worker is reached, whichever life of it is there.

    Attributes:
      app: A platform_worker.WorkerApp.
      site: The serve.BreakableSite that serves it.
    """

    app: platform_worker.WorkerApp
    site: serve.BreakableSite


class Platform:
    """The store, the workers and what was seen at them."""

    def __init__(self, options):
        self.options = options
        self.store = transaction_store.TransactionStore()
        self.faults = platform_store.Faults()
        self.waiting_by_subject = collections.defaultdict(list)
        self.held = []
        self.jobs_by_id = {}
        self.workers_by_id = {}
        self.twice = []
        self.unknown = []
        self.after_done = []
        self.crashed = []
        self.started_at_by_key = {}
        self.late_starts = 0
        self.most_by_text = {}
        self.entries_by_key = {}
        self.addresses_by_id = {}
        self.places_by_address = {}
        self.gangs = gangs.Gangs()
        self.numbers = itertools.count()

    def tick(self):
        """Let time pass."""
        now = time.monotonic()
        before = self.store.revision
        if not self.faults.keeps_leases:
            self.store.expire(now)
        self.gangs.advance(self.workers_by_id.values(), now)
        for worker in self.workers_by_id.values():
            worker.advance(now)
            if worker.ended:
                self.wake(worker)
        if self.store.revision != before:
            self.wake(self.store)

    def wake(self, subject):
        """Wake what waits for a change of the store, or for an end at a worker.

        With 120 workers each change that woke all looks too had the process busy with
        nothing else, and looks timed out beside other load.
        """
        for waiter in self.waiting_by_subject.pop(subject, ()):
            call_once(waiter)

    async def wait_back(self):
        """Wait until the store is back, if it is away."""
        while self.faults.away:
            waiter = defer.Deferred()
            self.held.append(waiter)
            await waiter
        if self.faults.slow_ms:
            await task.deferLater(reactor, self.faults.slow_ms / 1000)

    def set_faults(self, faults):
        """Say what goes wrong from now on; what was held is done if it may."""
        if faults.unlisted != self.faults.unlisted:
            self.list_workers(not faults.unlisted)
        self.faults = faults
        held, self.held = self.held, []
        for waiter in held:
            call_once(waiter)

    def list_workers(self, is_listed):
        """Have the store list the workers, or not."""
        keys = [entries.ENTRY_PREFIX + worker_id for worker_id in self.workers_by_id]
        if is_listed:
            puts = [(key, self.entries_by_key[key], 0) for key in keys]
            self.store.commit([], puts, [])
        else:
            self.store.commit([], [], keys)
        self.wake(self.store)

    async def wait_for(self, subject, find, wait_ms):
        """Wait until `find` gives something of a subject, or for the time."""
        deadline = time.monotonic() + wait_ms / 1000
        while True:
            found = find()
            left_s = deadline - time.monotonic()
            if found or found is None or left_s <= 0:
                return found
            waiter = defer.Deferred()
            waiting = self.waiting_by_subject[subject]
            waiting.append(waiter)
            timer = reactor.callLater(left_s, call_once, waiter)
            await waiter
            if timer.active():
                timer.cancel()
            elif waiter in waiting:
                waiting.remove(waiter)

    def check_noted(self, worker):
        """Note the tasks that started after an end as done that is now seen."""
        self.after_done += [
            names.format_task(end.key)
            for end in worker.take_noted()
            if self.started_at_by_key[end.key] > end.ended_at
        ]

    def is_failing(self, worker):
        """Whether a life of a worker fails all that it starts now."""
        address = self.addresses_by_id[worker.worker_id]
        return address in list(self.places_by_address)[: self.faults.failing]

    def find_step(self, key):
        """Find the step of a task in the jobs that the store keeps."""
        item = self.store.by_key.get(record.JOB_PREFIX + key.job_id)
        if item is None:
            return None
        kept = record.decode_job(base64.b64decode(item.value))
        if kept.job.steps:
            # Of a job that is over, the store keeps no steps.
            self.jobs_by_id[kept.job_id] = kept
        return self.jobs_by_id[key.job_id].job.steps[key.step]

    def note_use(self, text):
        """Note how many millicores the jobs of one text have running now."""
        used = sum(
            active.demand.millicores
            for worker in self.workers_by_id.values()
            for active in worker.active_by_key.values()
            if self.jobs_by_id[active.key.job_id].job.text == text
        )
        self.most_by_text[text] = max(used, self.most_by_text.get(text, 0))

    def add_worker(self, uptime_ms=0):
        """Start a worker and list it in the store.

        Args:
          uptime_ms: An int, what its clock shows now.
        """
        worker = self.make_life(uptime_ms=uptime_ms)
        app = platform_worker.WorkerApp(self, worker)
        site = serve.BreakableSite(app.app)
        address = serve.listen_site(site)
        self.places_by_address[address] = Place(app, site)
        self.list_life(worker, address)

    def make_life(self, worker_id=None, uptime_ms=0):
        """Start a life of a worker, under a new id if none is given.

        Args:
          worker_id: A str, or None.
          uptime_ms: An int, what its clock shows now.
        Returns:
          A leased_worker.LeasedWorker.
        """
        number = next(self.numbers)
        worker_id = worker_id or f"i-{number:04x}"
        total = spec.Demand(self.options.cores * 1000, 131_072, 0)
        # Every other clock runs as slow as the users allow.
        rate = SLOW_CLOCK if number % 2 else 1.0
        started_at_ms = int(time.time() * 1000)
        worker = leased_worker.LeasedWorker(
            worker_id,
            total,
            rate,
            started_at_ms,
            time.monotonic() - uptime_ms / 1000 / rate,
            self.options.max_hold_ms,
        )
        self.workers_by_id[worker_id] = worker
        return worker

    def list_life(self, worker, address):
        """List a life of a worker in the store, anew if it changed."""
        total = worker.total
        self.addresses_by_id[worker.worker_id] = address
        entry = {
            "service": "press-desk",
            "address": address,
            "zone": "h1",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "capacity": {"cpu": total.millicores, "mem_mb": total.memory_mb},
            "labels": ["a", f"r{int(worker.worker_id[2:], 16) % 2}"],
            "seq": 1,
            "born": worker.started_at_ms,
        }
        value = base64.b64encode(msgspec.json.encode(entry)).decode()
        key = entries.ENTRY_PREFIX + worker.worker_id
        self.entries_by_key[key] = value
        self.store.commit([], [(key, value, 0)], [])
        self.wake(self.store)

    def is_live(self, worker):
        """Whether an incarnation of a worker has not ended."""
        return self.workers_by_id.get(worker.worker_id) is worker

    def replace_life(self, worker, keeps_id=False, late_ms=0, dark_ms=0):
        """End a life without a word and start another at its address.

        Args:
          worker: A leased_worker.LeasedWorker.
          keeps_id: Whether the other has its id.
          late_ms: An int, after what time an entry of the ended life is written once
            more; 0 for never. What lives writes its own again a little later.
          dark_ms: An int, how long nothing answers at the address before the next
            incarnation is there.
        """
        worker_id = worker.worker_id
        key = entries.ENTRY_PREFIX + worker_id
        entry = self.entries_by_key[key]
        del self.workers_by_id[worker_id]
        self.crashed.append(worker)
        self.wake(worker)
        if dark_ms:
            reactor.callLater(dark_ms / 1000, self.begin_next_life, worker, keeps_id)
        else:
            self.begin_next_life(worker, keeps_id)
        if late_ms:
            late_s = late_ms / 1000
            reactor.callLater(late_s, self.write_entry, key, entry)
            reactor.callLater(late_s + LATE_ENTRY_S, self.end_entry, key)

    def begin_next_life(self, worker, keeps_id):
        """Start the next incarnation at the address of one that has ended.

        Connections to the ended incarnation are broken off only now, as by a machine
        that lost power and is back.

        Args:
          worker: A leased_worker.LeasedWorker that has ended.
          keeps_id: Whether the next incarnation has its id.
        """
        worker_id = worker.worker_id
        address = self.addresses_by_id[worker_id]
        later = self.make_life(worker_id if keeps_id else None)
        place = self.places_by_address[address]
        place.app.worker = later
        place.site.break_off()
        if not keeps_id:
            self.store.commit([], [], [entries.ENTRY_PREFIX + worker_id])
        self.list_life(later, address)

    def write_entry(self, key, value):
        """Write an entry, which may be of a life that is over."""
        self.store.commit([], [(key, value, 0)], [])
        self.wake(self.store)

    def end_entry(self, key):
        """Let an entry lapse, or be written anew by the life that has its id."""
        worker = self.workers_by_id.get(key.removeprefix(entries.ENTRY_PREFIX))
        if worker is not None:
            self.list_life(worker, self.addresses_by_id[worker.worker_id])
            return
        self.store.commit([], [], [key])
        self.wake(self.store)

    def restart(self, keeps_id, late_ms, pick=0, dark_ms=0, worker_id=""):
        """Replace the life of a worker that runs something, if one does.

        Args:
          keeps_id, late_ms, dark_ms: As for `replace_life`.
          pick: An int, how many busier ones are passed over, round and round.
          worker_id: A str, the worker to restart; empty to choose by `pick`.
        """
        if worker_id:
            worker = self.workers_by_id[worker_id]
            self.replace_life(worker, keeps_id, late_ms, dark_ms)
            return
        lives = sorted(
            self.workers_by_id.values(), key=lambda life: -len(life.active_by_key)
        )
        busy = [life for life in lives if life.active_by_key] or lives[:1]
        self.replace_life(busy[pick % len(busy)], keeps_id, late_ms, dark_ms)

    def cut_off(self, worker_id, for_ms):
        """Cut a worker off from all callers for a while; its tasks go on.

        Args:
          worker_id: A str.
          for_ms: An int.
        """
        app = self.places_by_address[self.addresses_by_id[worker_id]].app
        app.is_cut_off = True
        reactor.callLater(for_ms / 1000, app.reconnect)

    def change_room(self, cores):
        """Change what each worker has; its entry tells."""
        for worker in self.workers_by_id.values():
            worker.total = spec.Demand(cores * 1000, worker.total.memory_mb, 0)
            self.list_life(worker, self.addresses_by_id[worker.worker_id])


def call_once(waiter):
    """Wake a waiter that was not woken yet."""
    if not waiter.called:
        waiter.callback(None)


def make_advice_app(silent_every=0):
    """Make the advice service: every worker is good.

    Args:
      silent_every: As in Options.
    """
    app = klein.Klein()
    tickets = itertools.count(1)
    calls = itertools.count(1)

    @app.route("/-/advise", methods=["POST"])
    async def advise(request):
        if silent_every and next(calls) % silent_every == 0:
            await defer.Deferred()
        body = msgspec.json.decode(request.content.read())
        good = [[worker_id, f"t{next(tickets)}"] for worker_id in body["workers"]]
        return serve.reply(request, 200, {"good": good, "valid_ms": ADVICE_VALID_MS})

    return app


def main():
    """Run as a process."""
    platform = Platform(serve.read_options(Options))
    for _ in range(platform.options.workers):
        platform.add_worker(platform.options.uptime_ms)
    advice = serve.listen(make_advice_app(platform.options.advice_silent_every))
    print(f"event=advice http={advice}", flush=True)
    task.LoopingCall(platform.tick).start(TICK_S)
    serve.run(platform_store.StoreApp(platform).app)


if __name__ == "__main__":
    main()
