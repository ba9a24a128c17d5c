"""Carrying out the faults of a plan against the processes of a cell."""

import contextlib
import signal
import subprocess
import threading
import time

from soak import plan
from tests import harness, schedulers

PROXY_DELAY_MS = 150
STORE_SLOW_MS = 200  # 50 times the users' store
LOST_WRITES = 3  # in a row, of whichever process they are
VERSION_STEP = 3  # of a config: any rise puts it in force
RESTART_S = 0.4  # from the end of a process to its next life


class Striker:
    """Strikes, and mends what it struck when its time is over."""

    def __init__(self, cell):
        """Take what is struck.

        Args:
          cell: A schedulers.Schedulers that runs.
        """
        self._cell = cell
        self._lock_by_name = {name: threading.Lock() for name in cell.names}
        self._threads = []
        self._version = schedulers.CONFIG["version"]

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
            value = PROXY_DELAY_MS if fault.kind is plan.Kind.STORE_DELAYED else True
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
            process.signal(signal.SIGTERM)
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.popen.wait(harness.PATIENCE_S)
        process.kill()
        time.sleep(RESTART_S)
        self._cell.start_scheduler(fault.target)

    def _strike_platform(self, fault):
        if fault.kind is plan.Kind.CONFIG:
            self._version += VERSION_STEP
            self._cell.put_config(schedulers.CONFIG | {"version": self._version})
        elif fault.kind is plan.Kind.WORKER_CRASH:
            harness.call("POST", self._cell.url("platform", "/crash"))
        elif fault.kind is plan.Kind.WRITES_LOST:
            self._cell.set_platform_faults(lose_writes=LOST_WRITES)
        elif fault.kind in (plan.Kind.HISTORY_GONE, plan.Kind.KEYS_REVOKED):
            self._cell.set_platform_faults(**{fault.kind.value: True})
        else:
            value = STORE_SLOW_MS if fault.kind is plan.Kind.STORE_SLOW else True
            self._set_for_a_while(fault, value)

    def _set_for_a_while(self, fault, value):
        self._cell.set_platform_faults(**{fault.kind.value: value})
        time.sleep(fault.for_s)
        self._cell.set_platform_faults()
