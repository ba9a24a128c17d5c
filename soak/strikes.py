"""Carrying out the faults of a plan against the processes of a cell."""

import collections
import contextlib
import itertools
import signal
import subprocess
import threading
import time

import msgspec

from soak import plan, touch, versions
from tests import harness, opencaller, schedulers

PROXY_DELAY_MS = 150
PROXY_BYTES_PER_S = 200_000  # of a connection; a configuration takes up to a second
STORE_SLOW_MS = 200  # 50 times the users' store
LOST_WRITES = 3  # in a row, of whichever process they are
VERSION_STEP = 3  # of a config: any rise puts it in force
ROUTES_STEP = 200  # more routes in each version
# In cells of many processes, to each of which one process of ours sends each version.
FEW_ROUTES_STEP = 10
MANY_SCHEDULERS = 20
OPEN_CALLERS = 4  # that use their connection to a process that is told to stop
# From the order to stop until each answer closes its connection, well within the grace.
CLOSE_S = 1.0
# Further signals to a process that stops, as planned work overlaps: shares of its grace
# after the order.
REPEATED = ((0.25, signal.SIGHUP), (0.5, signal.SIGTERM), (0.6, signal.SIGHUP))
OPEN_SUBMITS = 8  # each of so many of their requests hands in a job, the others ask
LATE_ENTRY_MS_A_SECOND = 400  # up to 2 s, as it was seen of the users' workers
LIMIT_SHARES = (0.5, 0.25, 0.375)  # of all cores, one version after the other
CORES_EACH = 64  # of a worker of the stand-in
KEY_S = 1.0  # from a new key's version until callers use it, and the old one goes
FAILING_SHARE = 0.25  # of the workers, that fail all they start
# Jobs that together have more tasks than a worker lists ends at once. They fit on one
# worker and end together; at once, their starts would time out.
BURST_JOBS = 7
BURST_TASK = {"count": 80, "cpu": 20, "mem_mb": 1}
BURST_GAP_S = 0.4
BURST_LAST_MS = 1000  # how long the tasks of the last one run
KILL_AHEAD_S = 0.2  # of the end of those tasks
SHORT_MS = 50  # the jobs of those callers: many come in a second
ACCEPTED_STATUS = 200
REFUSED_STATUS = 503
RESTART_S = 0.4  # from the end of a process to its next life


SIGNALS = frozenset({plan.Kind.KILL, plan.Kind.PAUSE, plan.Kind.STOP})
VALUE_BY_KIND = {
    plan.Kind.STORE_DELAYED: PROXY_DELAY_MS,
    plan.Kind.STORE_NARROW: PROXY_BYTES_PER_S,
    plan.Kind.STORE_SLOW: STORE_SLOW_MS,
}
# What happens at an instant; the store has none of it to keep on.
AT_ONCE = frozenset(
    {plan.Kind.WRITES_LOST, plan.Kind.HISTORY_GONE, plan.Kind.KEYS_REVOKED}
)
# Of these no process is out of touch for more than an instant.
HARMLESS = frozenset({plan.Kind.HISTORY_GONE, plan.Kind.KEYS_REVOKED})


class Striker:
    """Strikes, and mends what it struck when its time is over.

    Attributes:
      broken: A list of str, what broke while it struck: requests that a planned stop
        cut, processes that did not start again.
      limits: A list of int, the limits of the workspace in cores.
      version: An int, of the configuration that was written last.
      withdrawn: A list of str, keys that are in force no more.
    """

    def __init__(self, cell, size, book, apply_s):
        """Take what is struck.

        Args:
          cell: A schedulers.Schedulers that runs.
          size: A sizes.Size, its own.
          book: A callers.Book, for jobs that come on open connections.
          apply_s: A float, how soon a version is to be in force.
        """
        self._cell = cell
        self._book = book
        self._slack_s = versions.compute_slack_s(apply_s)
        self._submitted = set()
        self._lock_by_name = {name: threading.Lock() for name in cell.names}
        self._threads = []
        self._ids = itertools.count(1)
        # Reentrant: what a version is made of changes under it too.
        self._config_lock = threading.RLock()
        # Of two rotations at once, each would take the other's new key away.
        self._key_lock = threading.Lock()
        # What is wrong at the store, and with each proxy, beside one another.
        self._switch_lock = threading.Lock()
        self._on_by_place = collections.defaultdict(dict)
        self._touched = touch.Touch()
        self.watcher = versions.Watcher(cell, self._touched, apply_s)
        is_large = size.schedulers > MANY_SCHEDULERS
        self._failing = max(1, int(size.workers * FAILING_SHARE))
        self._routes_step = FEW_ROUTES_STEP if is_large else ROUTES_STEP
        self._routes = list(schedulers.CONFIG["routes"])
        self.version = schedulers.CONFIG["version"]
        self.broken = []
        self.withdrawn = []
        cores = size.workers * CORES_EACH
        self.limits = [max(1, int(cores * share)) for share in LIMIT_SHARES]
        self._next_limits = itertools.cycle(self.limits)
        self._limit = next(self._next_limits)
        self._keys = ["key-0"]
        cell.key = self._keys[0]
        self._put_config()

    def run(self, faults):
        """Carry out a plan; it is over when all is mended.

        Args:
          faults: A list of plan.Fault in order of time.
        """
        began = time.monotonic()
        for fault in faults:
            time.sleep(max(0.0, began + fault.at_s - time.monotonic()))
            thread = threading.Thread(target=self._try, args=(fault,), daemon=True)
            thread.start()
            self._threads.append(thread)
        for thread in self._threads:
            thread.join()
        for name in self._cell.proxied:
            self._cell.set_proxy(f"store-of-{name}")
        self._cell.set_platform_faults()

    def finish(self):
        """Write last versions to a cell that nothing is wrong with any more.

        The limit is the highest then, so that each job that was accepted has room.
        """
        time.sleep(touch.SETTLE_S)
        with self._config_lock:
            self._limit = max(self.limits)
            self._add_routes()
        with self._key_lock:
            self._rotate_key()
        self.watcher.join()
        self.broken += self.watcher.broken

    def _try(self, fault):
        try:
            self._strike(fault)
        except Exception as error:
            self.broken.append(f"{fault}: {error!r}")

    def _strike(self, fault):
        if fault.kind in SIGNALS:
            # Signals come in series on one process, and overlap over several.
            with self._lock_by_name[fault.target], self._touched.strike(fault.target):
                self._signal(fault)
        elif fault.kind in plan.OF_LINK:
            with self._touched.strike(fault.target):
                self._set_for_a_while(fault, f"store-of-{fault.target}")
        else:
            self._strike_platform(fault)

    def _set_for_a_while(self, fault, place=""):
        """Switch a fault of a proxy, or of the store, on; and off after its time."""
        is_failing = fault.kind is plan.Kind.WORKERS_FAIL
        value = self._failing if is_failing else VALUE_BY_KIND.get(fault.kind, True)
        self._switch(place, fault, value)
        time.sleep(fault.for_s)
        self._switch(place, fault, None)

    def _switch(self, place, fault, value):
        """Switch a fault on, or off for None; what else is on there stays.

        The first end of several of one kind ends them all: none lasts longer.
        """
        with self._switch_lock:
            on = self._on_by_place[place]
            on.pop(fault.kind.value, None)
            self._post(place, on if value is None else on | {fault.kind.value: value})
            if value is not None and fault.kind not in AT_ONCE:
                on[fault.kind.value] = value

    def _post(self, place, on):
        if place:
            self._cell.set_proxy(place, **on)
        else:
            self._cell.set_platform_faults(**on)

    def _signal(self, fault):
        process = self._cell.by_name[fault.target]
        if fault.kind is plan.Kind.PAUSE:
            process.freeze()
            time.sleep(fault.for_s)
            process.thaw()
            return
        if fault.kind is plan.Kind.STOP:
            self._stop(fault.target)
        process.kill()
        time.sleep(RESTART_S)
        self._cell.start_scheduler(fault.target)

    def _stop(self, name):
        """Tell a process to stop while callers use their connections to the end."""
        address = self._cell.http_by_name[name]
        headers = schedulers.make_headers(self._cell.key)
        open_callers = [
            opencaller.OpenCaller(address, self._make_request, headers)
            for _ in range(OPEN_CALLERS)
        ]
        process = self._cell.by_name[name]
        told_at = time.monotonic()
        process.signal(signal.SIGTERM)
        for share, number in REPEATED:
            time.sleep(
                max(0.0, told_at + share * self._cell.grace_s - time.monotonic())
            )
            process.signal(number)
        with contextlib.suppress(subprocess.TimeoutExpired):
            process.popen.wait(harness.PATIENCE_S)
        for caller in open_callers:
            caller.stop()
            for job_id, status in caller.answered:
                self._note_answer(job_id, status)
            self._book.unknown.update(caller.cut)
            self.broken += [
                f"cut by a planned stop of {name}: {cut}" for cut in caller.cut
            ]
            # Who keeps a connection loses what is sent on it as the process ends.
            open_s = caller.kept_open_at - told_at
            if open_s > CLOSE_S + self._slack_s:
                self.broken.append(
                    f"kept open by a planned stop of {name} for {open_s:.2f} s"
                )

    def _note_answer(self, job_id, status):
        """Note what became of a job that an open connection carried."""
        if job_id not in self._submitted:
            return
        if status == ACCEPTED_STATUS:
            self._book.accepted.add(job_id)
        elif status == REFUSED_STATUS:
            self._book.refused.add(job_id)
        else:
            self._book.unknown.add(job_id)

    def _make_request(self):
        """Make the parts of a request that hands in a job, or asks for one."""
        number = next(self._ids)
        job_id = f"{number:016x}"
        body = None
        if number % OPEN_SUBMITS == 0:
            self._submitted.add(job_id)
            body = msgspec.json.encode(schedulers.make_job(1, SHORT_MS))
        return job_id, schedulers.HOST, f"/editions/{job_id}", body

    def _submit_burst(self, pick):
        """Hand in jobs whose tasks end at about one moment, mostly at one worker."""
        name = self._cell.names[pick % len(self._cell.names)]
        for left in reversed(range(BURST_JOBS)):
            job_id = f"{next(self._ids):016x}"
            self._submitted.add(job_id)
            run_ms = BURST_LAST_MS + int(left * BURST_GAP_S * 1000)
            body = {"spec": "text", "steps": [BURST_TASK | {"est_runtime_ms": run_ms}]}
            answer = self._cell.send("POST", name, f"/editions/{job_id}", body)
            self._note_answer(job_id, answer.status if answer is not None else 0)
            time.sleep(BURST_GAP_S)

    def _kill_owner(self, after_s):
        """Kill the process that owns the cell, after a time in seconds."""
        time.sleep(after_s)
        owner = next((n for n in self._cell.names if self._cell.is_deciding(n)), "")
        if owner:
            self._strike(plan.Fault(0.0, plan.Kind.KILL, owner, 0.0))

    def _strike_platform(self, fault):
        if fault.kind is plan.Kind.CONFIG:
            self._add_routes()
        elif fault.kind is plan.Kind.LIMIT:
            with self._config_lock:
                self._limit = next(self._next_limits)
                self._put_config()
        elif fault.kind is plan.Kind.KEY:
            with self._key_lock:
                self._rotate_key()
        elif fault.kind is plan.Kind.WORKER_CRASH:
            harness.call("POST", self._cell.url("platform", "/crash"))
        elif fault.kind in (plan.Kind.WORKER_RESTART, plan.Kind.WORKER_REPLACED):
            # Under its id or another, and an entry of the ended life comes late.
            keeps_id = int(fault.kind is plan.Kind.WORKER_RESTART)
            late_ms = int(fault.for_s * LATE_ENTRY_MS_A_SECOND)
            query = f"/restart?keeps_id={keeps_id}&late_ms={late_ms}&pick={fault.pick}"
            harness.call("POST", self._cell.url("platform", query))
        elif fault.kind is plan.Kind.BURST:
            self._submit_burst(fault.pick)
            if fault.pick % 2:
                self._kill_owner(BURST_LAST_MS / 1000 - BURST_GAP_S - KILL_AHEAD_S)
        elif fault.kind is plan.Kind.WORKERS_FAIL:
            self._set_for_a_while(fault)
        elif fault.kind in HARMLESS:
            self._switch("", fault, True)
        elif fault.kind is plan.Kind.WRITES_LOST:
            with self._touched.strike(touch.ALL):
                self._switch("", fault, LOST_WRITES)
        else:
            with self._touched.strike(touch.ALL):
                self._set_for_a_while(fault)

    def _add_routes(self):
        """Write a version with more routes than the one before."""
        with self._config_lock:
            first = self._routes[0]
            for _ in range(self._routes_step):
                name = f"route-{len(self._routes)}"
                self._routes.append(first | {"name": name, "path_prefix": f"/{name}/"})
            self._put_config()

    def _rotate_key(self):
        """Bring a key, have callers use it, and take the one before away."""
        key = f"key-{next(self._ids)}"
        self._keys.append(key)
        self._put_config()
        time.sleep(KEY_S)
        self._cell.key = key
        self.withdrawn += [old for old in self._keys if old != key]
        self._keys = [key]
        self._put_config()

    def _put_config(self):
        """Write a version with the routes, keys and limit as they are now."""
        with self._config_lock:
            self.version += VERSION_STEP
            key = self._keys[-1]
            workspace = schedulers.make_workspace(
                "press", *self._keys, cores=self._limit
            )
            self._cell.put_config(
                schedulers.make_config(self.version, workspace, routes=self._routes)
            )
            path = self._routes[-1]["path_prefix"]
            self.watcher.note(
                versions.Version(
                    self.version, path, key, lambda: key not in self.withdrawn
                )
            )
