"""Starts scheduler processes as the deploy file says, and ends them all."""

import asyncio
import contextlib
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
import traceback

from review import standin

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "press.example"
QUEUES = {"photos": "/photos/", "builds": "/builds/"}  # by priority, from 0
# The bounds of the settings example of the users' pages.
BOUNDS = {"status_s": 120, "grace_s": 6, "stop_ms": 200}
PORTS = (20_000, 32_000)
PORTS_EACH = 4  # for callers, the balancer, other schedulers and counters
RESTART_S = 0.5
DEADLINE_MS = 3000
FINAL_STATES = ("succeeded", "failed", "cancelled")
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2


class NotRun(Exception):
    """The case could not be brought about."""


def make_config(version):
    """Make a version of the configuration with two queues that want no advice."""
    routes = [
        {
            "name": name,
            "host": HOST,
            "path_prefix": prefix,
            "service": "press-desk",
            "priority": priority,
            "max_attempts": 3,
            "stretch": 4.0,
            "target_latency_ms": 3000,
        }
        for priority, (name, prefix) in enumerate(QUEUES.items())
    ]
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": "press-desk", "rejects_overload": False}],
        "limits": {"max_body_bytes": 262144},
    }


def find_ports(count):
    """Find free ports, below those that the kernel gives to connections."""
    ports = set()
    while len(ports) < count:
        port = random.randrange(*PORTS)
        with contextlib.suppress(OSError), socket.create_server((standin.HOST, port)):
            ports.add(port)
    return list(ports)


def fill(template, fields):
    """Fill a template of settings with plain values, as the platform does."""

    def find(match):
        value = fields
        for part in match[1].split("."):
            value = value[int(part)] if part.isdigit() else value[part]
        return str(value)

    return re.sub(r"\{\{([\w.]+)\}\}", find, template)


class Cell:
    """Scheduler processes on loopback.

    Attributes:
      addresses: Where callers reach each scheduler, by its name.
    """

    def __init__(self, world, count, store_addresses=None):
        """Prepare the processes.

        Args:
          world: A standin.World that has been started.
          count: An int, how many schedulers.
          store_addresses: The store's address as each scheduler knows it, by name; the
            store's own for all others.
        """
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["scheduler"]
        self._run = role["run"].split()
        self._template = (ROOT / role["template"]).read_text()
        self._world = world
        self._stores = store_addresses or {}
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._processes = {}
        self._ports = {}
        self.addresses = {}
        ports = find_ports(PORTS_EACH * count)
        for number in range(count):
            name = f"front-{number}"
            self._ports[name] = [ports.pop() for _ in range(PORTS_EACH)]
            self.addresses[name] = f"{standin.HOST}:{self._ports[name][0]}"

    def start(self, name):
        """Start a scheduler, or start it again at its addresses."""
        ports = self._ports[name]
        fields = {
            "node_name": name,
            "zone": "nyarugenge",
            "ip": standin.HOST,
            "limits": {"cpu_share": 0.537, "cores": 2},
            "listen": {
                "front": f"{standin.HOST}:{ports[0]}",
                "ready": f"{standin.HOST}:{ports[1]}",
            },
            "port_range": ports[2:],
            "platform": {
                "address": self._stores.get(name, self._world.store.server.address)
            },
            "advice": "",
            "bounds": BOUNDS,
        }
        path = self._folder / f"{name}.ini"
        path.write_text(fill(self._template, fields))
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["THORNPORT_SETTINGS"] = str(path)
        log = (self._folder / f"{name}.log").open("ab")
        self._processes[name] = subprocess.Popen(
            self._run, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()

    async def start_all(self):
        """Start all schedulers and wait until each is ready."""
        for name in self.addresses:
            self.start(name)
        for name in self.addresses:
            await self.wait_ready(name)
        await wait_until(self._world.find_owner, "an owner", 15)
        await asyncio.sleep(1)

    async def wait_ready(self, name):
        """Wait until a scheduler calls itself ready."""
        address = f"{standin.HOST}:{self._ports[name][1]}"
        for _ in range(300):
            status, _ = await standin.call(address, "GET", "/-/ready", timeout_s=1)
            if status == 200:
                return
            await asyncio.sleep(0.05)
        log = (self._folder / f"{name}.log").read_text()
        raise NotRun(f"{name} is not ready: {log[-500:]}")

    def signal(self, name, number):
        """Send a signal to a scheduler."""
        self._world.note(f"signal {signal.Signals(number).name} to {name}")
        self._processes[name].send_signal(number)

    async def kill(self, name):
        """Kill a scheduler; the platform starts it again shortly."""
        self.signal(name, signal.SIGKILL)
        self._processes[name].wait()
        await asyncio.sleep(RESTART_S)
        self.start(name)

    async def call(self, name, method, queue, job_id, body=None, **more):
        """Call a scheduler as a caller does; returns the status and the body."""
        headers = {"Host": HOST, "Thornport-Deadline-Ms": str(DEADLINE_MS)}
        if method == "POST":
            headers["Content-Type"] = "application/json"
            self._world.add_job(job_id, body)
        path = QUEUES[queue] + job_id
        timeout_s = more.pop("timeout_s", DEADLINE_MS / 1000)
        self._world.note(f"sent {method} {path} to {name}")
        answer = await standin.call(
            self.addresses[name], method, path, body, headers, timeout_s
        )
        self._world.note(f"answered {method} {path} by {name}: {answer}")
        return answer

    def close(self):
        """End the processes that were started here."""
        for process in self._processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            shutil.copytree(self._folder, kept, dirs_exist_ok=True)
        shutil.rmtree(self._folder, ignore_errors=True)


async def wait_until(find, what, patience_s):
    """Wait until a callable returns something true, and return that."""
    for _ in range(int(patience_s / 0.01)):
        found = find()
        if found:
            return found
        await asyncio.sleep(0.01)
    raise NotRun(f"never came: {what}")


async def wait_over(schedulers, ids, queue, patience_s):
    """Wait until all jobs are shown as over, or for as long as there is."""
    names = list(schedulers.addresses)
    left = set(ids)
    for number in range(patience_s):
        for job_id in sorted(left):
            name = names[number % len(names)]
            _, body = await schedulers.call(name, "GET", queue, job_id)
            if body and body.get("state") in FINAL_STATES:
                left.discard(job_id)
        if not left:
            return
        await asyncio.sleep(1)


def main(case, folder, has_trouble, seconds=110):
    """Run a case and end with its status.

    Args:
      case: A coroutine function of a standin.World and of whether there is trouble;
        returns a list of texts, what broke the rule.
      folder: The pathlib.Path of the case.
      has_trouble: Whether the case brings its disruption about.
      seconds: An int, after which the case counts as not run.
    """
    with (folder / "record.txt").open("w") as record:
        world = standin.World(record)
        try:
            broken = asyncio.run(asyncio.wait_for(case(world, has_trouble), seconds))
        except Exception as error:
            # Also a fault of the script itself, which says nothing about the rule.
            text = "".join(traceback.format_exception(error))
            world.note(f"not run: {text}")
            print(f"not run: {text}")
            sys.exit(EXIT_NOT_RUN)
        for text in broken:
            world.note(f"broken: {text}")
    print(f"broken: {len(broken)}", *broken[:5], sep="\n  ")
    sys.exit(EXIT_BROKEN if broken else 0)
