"""A small deployment on loopback: store, minions, advice, schedulers, clients."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import re
import secrets
import shutil
import signal
import socket
import subprocess
import tempfile
import time

from review.rig3 import http11, minion, store

ROOT = pathlib.Path(__file__).resolve().parents[2]
QUEUE_HOST = "press.example"
SERVICE = "press-desk"
# The figures of the users' first deployment.
BOUNDS = {
    "contact_ms": 3000,
    "ack_timeout_ms": 4000,
    "drain_ms": 2000,
    "grace_s": 6,
    "config_apply_ms": 2000,
    "max_hold_ms": 6000,
    "stop_ms": 200,
    "gang_ms": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "lease_ms": 3000,
}


class CaseError(Exception):
    """The case could not run."""


PORTS = range(12_000, 30_000)  # below those that the kernel chooses for connections


def find_port():
    """Find a free port."""
    while True:
        port = secrets.choice(PORTS)
        with socket.socket() as bound, contextlib.suppress(OSError):
            bound.bind((http11.HOST, port))
            return port


def fill(template, fields):
    """Fill the template of the deploy file, as far as it uses the gaps."""

    def find(name, scope):
        for part in name.split("."):
            scope = scope[int(part)] if isinstance(scope, list) else scope[part]
        return scope

    def fill_section(match):
        return "".join(
            match[2].replace("{{@}}", key).replace("{{.|json}}", json.dumps(value))
            for key, value in find(match[1], fields).items()
        )

    text = re.sub(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}", fill_section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(find(m[1], fields)), text)


class Scheduler:
    """A process of the deploy file, and its settings."""

    def __init__(self, world, name):
        """Choose its ports."""
        self.world = world
        self.name = name
        self.front = f"{http11.HOST}:{find_port()}"
        self.ready = f"{http11.HOST}:{find_port()}"
        self.ports = [find_port(), find_port()]
        self.popen = None
        self.log = world.folder / f"{name}.log"

    def start(self):
        """Start the process with the command and template of the deploy file."""
        fields = {
            "node_name": self.name,
            "zone": "nyarugenge",
            "ip": http11.HOST,
            "limits": {"cpu_share": 0.537, "cores": 2},
            "listen": {"front": self.front, "ready": self.ready},
            "port_range": self.ports,
            "platform": {"address": self.world.store.server.address},
            "advice": self.world.advice.address,
            "bounds": BOUNDS | self.world.bounds,
        }
        path = self.world.folder / f"{self.name}.ini"
        template = (ROOT / "deploy/scheduler.ini").read_text()
        path.write_text(fill(template, fields))
        known = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        env = known | {
            "PYTHONPATH": str(ROOT / "target/deps"),
            "THORNPORT_SETTINGS": str(path),
        }
        with self.log.open("ab") as log:
            self.popen = subprocess.Popen(
                ["python3", "-m", "thornport.platform"],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )

    def signal(self, number):
        """Send a signal to this very process."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(number)

    def kill(self):
        """End the process at once."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.popen is not None:
            self.popen.wait()


class World:
    """Everything outside the system, and the system's processes."""

    def __init__(self, record_path, bounds=None, value_bytes=1_048_576):
        """Begin with nothing started."""
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="case-"))
        self.bounds = bounds or {}
        self.service = SERVICE
        self.store = store.Store(value_bytes)
        self.advice = http11.Server(self.advise)
        self.minions = []
        self.schedulers = []
        self.jobs = {}
        self.work_ms = {}
        self.gang_ms = BOUNDS["gang_ms"]
        self.gangs = {}
        self.checkpoint_bytes = 16
        self.random = random.Random()
        self.starts = []
        self.ends = []
        self.tasks = []
        self.began = time.monotonic()
        self.record_file = record_path.open("w")
        self.lines = {}

    def record(self, text, kind=None, most=40):
        """Write a line of what was sent, answered or run; few of some kinds."""
        if kind is not None:
            self.lines[kind] = self.lines.get(kind, 0) + 1
            if self.lines[kind] > most:
                return
            if self.lines[kind] == most:
                text += f" (further lines of {kind} are left out)"
        at = time.monotonic() - self.began
        self.record_file.write(f"{at:8.3f} {text}\n")
        self.record_file.flush()

    async def advise(self, _method, _target, _headers, body):
        """Name every worker as good."""
        workers = json.loads(body)["workers"]
        return 200, {
            "good": [[one, f"t{secrets.token_hex(4)}"] for one in workers],
            "valid_ms": 1500,
        }

    # What minions ask and tell.

    def find_step(self, task):
        """Find the step of a task and its work."""
        job_id, _time, step, _index = task.split(".")
        return self.jobs[job_id]["steps"][int(step)], self.work_ms.get(job_id, 500)

    def find_gang(self, task, number, count):
        """Find the run of a gang that a task is a member of."""
        key = (task.rpartition(".")[0], number)
        if key not in self.gangs:
            self.gangs[key] = minion.Gang(count)
        return self.gangs[key]

    def choose_end(self, run):
        """Say how a run ends whose work is over."""
        del run
        return "done"

    def note_start(self, at, run, call):
        """Note a start."""
        self.starts.append((time.monotonic(), run.task, run.number, at.id))
        self.record(
            f"minion {at.id} runs {run.task} run {run.number}",
            f"starts of {run.task.split('.')[0]}",
        )
        if at.used("cpu") > at.capacity["cpu"]:
            self.record(f"minion {at.id} is over its cpu", "over")
        del call

    def note_lost_answer(self, at, target, body):
        """Note an answer that is lost."""
        task = json.loads(body).get("task", "") if body else ""
        self.record(f"minion {at.id}: the answer to {target} {task} is lost")

    def note_end(self, at, run, how):
        """Note an end."""
        self.ends.append((time.monotonic(), run.task, run.number, how, at.id))
        self.record(
            f"minion {at.id}: {run.task} run {run.number} ended {how}",
            f"ends of {run.task.split('.')[0]}",
        )

    def count_running(self, job_id):
        """Count the runs of a job."""
        return sum(
            task.startswith(job_id) for one in self.minions for task in one.running
        )

    # Setting it up.

    async def start(self, schedulers=3, minions=24, cpu=64_000, mem_mb=131_072):
        """Start the platform, then the schedulers, and wait until all are ready."""
        await self.store.server.start()
        await self.advice.start()
        self.tasks.append(asyncio.create_task(self.store.expire()))
        for number in range(minions):
            labels = ["ab"[number % 2], f"r0-{number // 8}"]
            one = minion.Minion(self, f"i-{secrets.token_hex(4)}", cpu, mem_mb, labels)
            await one.server.start()
            self.minions.append(one)
            self.store.write(f"servers/{one.id}", one.entry())
            self.tasks.append(asyncio.create_task(one.live()))
        for number in range(schedulers):
            one = Scheduler(self, f"front-{number}")
            self.schedulers.append(one)
            one.start()
        self.record(f"started {schedulers} schedulers and {minions} minions")

    async def configure(self, queues, version=1):
        """Write a configuration as the operator does."""
        routes = [
            {
                "name": name,
                "host": QUEUE_HOST,
                "path_prefix": f"/{name}/",
                "service": SERVICE,
                "priority": 1,
                "max_attempts": 3,
                "stretch": 2.0,
                "target_latency_ms": 1000,
            }
            | more
            for name, more in queues.items()
        ]
        config = {
            "version": version,
            "routes": routes,
            "services": [{"name": SERVICE, "rejects_overload": False}],
            "limits": {"max_body_bytes": 262_144},
        }
        self.store.write("op/config", json.dumps(config).encode())
        self.record(f"operator: version {version} with {', '.join(queues)}")

    async def wait_ready(self, timeout_s=20.0):
        """Wait until all schedulers are ready and one owns the cell."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if any(one.popen.poll() is not None for one in self.schedulers):
                raise CaseError("a scheduler ended while it started")
            answers = [
                (await http11.call(one.ready, "GET", "/-/ready", timeout_s=1.0))[0]
                for one in self.schedulers
            ]
            logs = [one.log.read_text(errors="replace") for one in self.schedulers]
            if set(answers) == {200} and any("event=deciding" in log for log in logs):
                self.record("all schedulers are ready")
                return
            await asyncio.sleep(0.1)
        raise CaseError("the schedulers are not ready")

    # Clients.

    async def send(self, at, method, queue, job_id, body=None, timeout_s=3.0):
        """Call a scheduler as a client does; return status and body."""
        headers = {
            "Host": QUEUE_HOST,
            "Thornport-Deadline-Ms": str(int(timeout_s * 1000)),
        }
        target = f"/{queue}/{job_id}"
        return await http11.call(at.front, method, target, body, headers, timeout_s)

    async def submit(self, queue, body, work_ms=500, job_id=None):
        """Hand a job in, at up to four nodes; return its ID, None if not accepted."""
        job_id = job_id or secrets.token_hex(8)
        self.jobs[job_id] = body
        self.work_ms[job_id] = work_ms
        for tried in range(4):
            node = self.schedulers[tried % len(self.schedulers)]
            status, _ = await self.send(node, "POST", queue, job_id, body)
            self.record(f"client: POST {queue}/{job_id} at {node.name}: {status}")
            if 200 <= status < 300:
                return job_id
            await asyncio.sleep(0.2)
        return None

    async def read_state(self, queue, job_id, timeout_s=3.0):
        """Ask for a job's state, at each node in turn; return the first 200."""
        for node in self.schedulers:
            status, answer = await self.send(
                node, "GET", queue, job_id, timeout_s=timeout_s
            )
            text = answer.get("state") if isinstance(answer, dict) else ""
            self.record(
                f"client: GET {queue}/{job_id} at {node.name}: {status} {text}", job_id
            )
            if status == 200:
                return text
        return ""

    def list_begun_late(self, jobs, most_s):
        """List the jobs of which no task began in time.

        Args:
          jobs: Pairs of a job's ID and when it was accepted.
          most_s: A float, how long an accepted job may wait.
        Returns:
          A list of IDs.
        """
        first = {}
        for at, task, _, _ in self.starts:
            first.setdefault(task.partition(".")[0], at)
        now = time.monotonic()
        return [j for j, at in jobs if first.get(j, now) - at > most_s]

    async def stop(self):
        """End all processes and servers."""
        for one in self.schedulers:
            one.kill()
        for running in self.tasks:
            running.cancel()
        await self.store.server.stop()
        await self.advice.stop()
        for one in self.minions:
            await one.server.stop()
        self.record("ended all")
        self.record_file.close()
        if os.environ.get("KEEP_LOGS", "0") == "0":
            shutil.rmtree(self.folder, ignore_errors=True)


async def play(record_path, case, timeout_s=110.0, **options):
    """Play a case: a coroutine function of a World, giving whether the rule held.

    Returns:
      The exit code: 0 if the rule held, 1 if it was broken, 2 if it could not run.
    """
    world = World(record_path, **options)
    code = 2
    playing = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, playing.cancel)
    try:
        async with asyncio.timeout(timeout_s):
            code = 0 if await case(world) else 1
    except Exception as error:
        world.record(f"the case could not run: {type(error).__name__} {error}")
    finally:
        world.record(f"exit code {code}")
        await world.stop()
        print(f"exit code {code}")
    return code
