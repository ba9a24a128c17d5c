"""Carrying out the faults of a plan against the processes of a cell."""

import contextlib
import itertools
import signal
import subprocess
import threading
import time

from soak import plan
from tests import harness, opencaller, schedulers

PROXY_DELAY_MS = 150
PROXY_BYTES_PER_S = 200_000  # of a connection; a configuration takes up to a second
STORE_SLOW_MS = 200  # 50 times the users' store
LOST_WRITES = 3  # in a row, of whichever process they are
VERSION_STEP = 3  # of a config: any rise puts it in force
ROUTES_STEP = 200  # more routes in each version
OPEN_CALLERS = 2  # that use their connection to a process that is told to stop
LATE_ENTRY_MS_A_SECOND = 400  # up to 2 s, as it was seen of the users' workers
LIMITS = (160, 80, 120)  # cores, one version after the other, of 192 that there are
KEY_S = 1.0  # from a new key's version until callers use it, and the old one goes
RESTART_S = 0.4  # from the end of a process to its next life


VALUE_BY_KIND = {
    plan.Kind.STORE_DELAYED: PROXY_DELAY_MS,
    plan.Kind.STORE_NARROW: PROXY_BYTES_PER_S,
}


class Striker:
    """Strikes, and mends what it struck when its time is over.

    Attributes:
      cut: A list of str, requests that a planned stop cut.
      version: An int, of the configuration that was written last.
      withdrawn: A list of str, keys that are in force no more.
    """

    def __init__(self, cell):
        """Take what is struck.

        Args:
          cell: A schedulers.Schedulers that runs.
        """
        self._cell = cell
        self._lock_by_name = {name: threading.Lock() for name in cell.names}
        self._threads = []
        self._ids = itertools.count(1)
        # Reentrant: what a version is made of changes under it too.
        self._config_lock = threading.RLock()
        # Of two rotations at once, each would take the other's new key away.
        self._key_lock = threading.Lock()
        self._routes = list(schedulers.CONFIG["routes"])
        self.version = schedulers.CONFIG["version"]
        self.cut = []
        self.withdrawn = []
        self._limits = itertools.cycle(LIMITS)
        self._limit = next(self._limits)
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
            thread = threading.Thread(target=self._strike, args=(fault,), daemon=True)
            thread.start()
            self._threads.append(thread)
        for thread in self._threads:
            thread.join()
        for name in self._cell.names:
            self._cell.set_proxy(f"store-of-{name}")
        self._cell.set_platform_faults()

    def _strike(self, fault):
        if fault.kind in (plan.Kind.KILL, plan.Kind.PAUSE, plan.Kind.STOP):
            # Signals come in series on one process, and overlap over several.
            with self._lock_by_name[fault.target]:
                self._signal(fault)
        elif fault.kind in plan.OF_SCHEDULER:
            value = VALUE_BY_KIND.get(fault.kind, True)
            proxy = f"store-of-{fault.target}"
            self._cell.set_proxy(proxy, **{fault.kind.value: value})
            time.sleep(fault.for_s)
            self._cell.set_proxy(proxy)
        else:
            self._strike_platform(fault)

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
        callers = [
            opencaller.OpenCaller(address, self._make_request)
            for _ in range(OPEN_CALLERS)
        ]
        process = self._cell.by_name[name]
        process.signal(signal.SIGTERM)
        with contextlib.suppress(subprocess.TimeoutExpired):
            process.popen.wait(harness.PATIENCE_S)
        for caller in callers:
            caller.stop()
            self.cut += [
                f"cut by a planned stop of {name}: {cut}" for cut in caller.cut
            ]

    def _make_request(self):
        """Make the parts of a request for the state of a job that nobody handed in."""
        job_id = f"{next(self._ids):016x}"
        return job_id, schedulers.HOST, f"/editions/{job_id}", None

    def _strike_platform(self, fault):
        if fault.kind is plan.Kind.CONFIG:
            self._add_routes()
        elif fault.kind is plan.Kind.LIMIT:
            self._limit = next(self._limits)
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
            query = f"/restart?keeps_id={keeps_id}&late_ms={late_ms}"
            harness.call("POST", self._cell.url("platform", query))
        elif fault.kind is plan.Kind.WRITES_LOST:
            self._cell.set_platform_faults(lose_writes=LOST_WRITES)
        elif fault.kind in (plan.Kind.HISTORY_GONE, plan.Kind.KEYS_REVOKED):
            self._cell.set_platform_faults(**{fault.kind.value: True})
        else:
            value = STORE_SLOW_MS if fault.kind is plan.Kind.STORE_SLOW else True
            self._set_for_a_while(fault, value)

    def _add_routes(self):
        """Write a version with more routes than the one before."""
        with self._config_lock:
            first = self._routes[0]
            for _ in range(ROUTES_STEP):
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
            workspace = schedulers.make_workspace(
                "press", *self._keys, cores=self._limit
            )
            more = {
                "version": self.version,
                "routes": self._routes,
                "tenants": [workspace],
            }
            self._cell.put_config(schedulers.CONFIG | more)

    def _set_for_a_while(self, fault, value):
        self._cell.set_platform_faults(**{fault.kind.value: value})
        time.sleep(fault.for_s)
        self._cell.set_platform_faults()
