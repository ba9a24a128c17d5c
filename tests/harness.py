"""Real processes for proofs: start, stop, freeze, ask; waits are on conditions."""

import os
import pathlib
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time

import msgspec
import urllib3

from thornport.kernel import testlogs

POLL_S = 0.02
PATIENCE_S = 30.0
POOL = urllib3.PoolManager(maxsize=64, retries=False)
ENTRY_SETTINGS = """
[process]
name = {name}
vm = {vm}
hall = {hall}
[listen]
ip = 127.0.0.1
http_port = {http_port}
peer_port = {peer_port}
peer_address = {peer_address}
[platform]
store = {store}
vms = {vms}
store_timeout_s = 0.5
vms_period_s = {vms_period_s}
[peers]
seeds = {seeds}
beat_s = {beat_s}
lease_s = {lease_s}
vm_gone_s = {vm_gone_s}
"""
DECLARATIONS = """
[tiers/urgent]
price = 100
[tiers/normal]
price = 10
[workspaces/press]
tiers = normal, urgent
[services/press-desk]
slots = 8
[jobs/edition]
tier = normal
workspace = press
tasks = 3
cores = 4
memory_mb = 1024
run_ms = 300
"""


def wait_until(condition, what, patience_s=PATIENCE_S):
    """Wait for a condition; the patience is only for a run that is broken."""
    give_up = time.monotonic() + patience_s
    while time.monotonic() < give_up:
        found = condition()
        if found:
            return found
        time.sleep(POLL_S)
    raise AssertionError(f"never came: {what}")


def call(method, url, body=None, headers=None, timeout_s=10.0):
    """Make one HTTP call."""
    return POOL.request(method, url, body=body, headers=headers, timeout=timeout_s)


def call_json(method, url, body=None):
    """Make one HTTP call with JSON both ways."""
    data = msgspec.json.encode(body) if body is not None else None
    return msgspec.json.decode(call(method, url, data).data)


class Process:
    """One process and its log file."""

    def __init__(self, folder, name, arguments):
        self.log_path = folder / f"{name}.log"
        with self.log_path.open("ab") as log:
            self.start_at = log.tell()
            self.popen = subprocess.Popen(
                [sys.executable, "-m", *arguments], stdout=log, stderr=log
            )

    def read_log(self):
        """Read what this life of the process has logged."""
        with self.log_path.open("rb") as log:
            log.seek(self.start_at)
            return log.read().decode()

    def wait_for(self, pattern):
        """Wait for a line in the log; return the match."""

        def look():
            if self.popen.poll() is not None:
                raise AssertionError(f"died: {self.read_log()}")
            return re.search(pattern, self.read_log())

        return wait_until(look, pattern)

    def signal(self, number):
        """Send a signal to this very process."""
        self.popen.send_signal(number)

    def freeze(self):
        """Pause the process."""
        self.signal(signal.SIGSTOP)

    def thaw(self):
        """Let a paused process go on."""
        self.signal(signal.SIGCONT)

    def kill(self):
        """End the process at once."""
        if self.popen.poll() is None:
            self.signal(signal.SIGCONT)
            self.popen.kill()
        self.popen.wait()


class Cell:
    """All processes of one proof, in a folder of their own."""

    def __init__(self):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="thornport-"))
        self.by_name = {}
        self.http_by_name = {}
        self.peer_by_name = {}
        self.listed = []
        self._is_over = False
        self._lock = threading.Lock()

    def end_processes(self):
        """End every process that was started here, for good; their logs stay."""
        with self._lock:
            self._is_over = True
        for process in self.by_name.values():
            process.kill()

    def close(self):
        """End every process, and remove the folder unless a test run does it."""
        self.end_processes()
        if not testlogs.TestLogs.is_collecting:
            shutil.rmtree(self.folder)

    def start(self, name, *arguments):
        """Start a process and wait for the address it listens on."""
        with self._lock:
            # A thread that starts processes again must leave none behind.
            if self._is_over:
                raise RuntimeError(f"{name} is not started: all processes were ended")
            process = Process(self.folder, name, arguments)
            self.by_name[name] = process
        match = process.wait_for(r"event=listening.* http=(\S+)(?: peer=(\S+))?")
        self.http_by_name[name] = match[1]
        self.peer_by_name[name] = match[2]
        return process

    def url(self, name, path=""):
        """Make a URL at a process."""
        return f"http://{self.http_by_name[name]}{path}"

    def start_platform(self, lag_ms=0):
        """Start the key-value service and the list of VMs."""
        self.start("kv", "standins.kv")
        self.start("vmlist", "standins.vmlist", f"lag_ms={lag_ms}")

    def start_backends(self, service, count, run_ms=5, slots=8):
        """Start backend servers and put them on the list."""
        for number in range(count):
            name = f"{service}-{number}"
            options = (f"run_ms={run_ms}", f"slots={slots}")
            self.start(name, "standins.backend", *options)
            self.list_backend(name, service, hall=f"h{number % 3}")
        self.publish_list()

    def list_backend(self, name, service, hall="h0", state="live"):
        """Put a backend server on the list."""
        labels = {"role": "backend", "service": service, "vm": name}
        labels |= {"hall": hall, "state": state}
        self.listed.append({"targets": [self.http_by_name[name]], "labels": labels})

    def start_proxy(self, name, target=None):
        """Start a fault-injecting proxy, in front of a process if one is named."""
        arguments = [f"target={self.http_by_name[target]}"] if target else []
        self.start(name, "tests.proxy", *arguments)

    def point_proxy(self, name, address):
        """Put a proxy in front of an address."""
        call("POST", f"http://{self.peer_by_name[name]}/target", address.encode())

    def set_proxy(self, name, **faults):
        """Switch faults of a proxy; all others off."""
        url = f"http://{self.peer_by_name[name]}/faults"
        call("POST", url, msgspec.json.encode(faults))

    def read_passed(self, name):
        """How many bytes of answers a proxy has passed on, an int."""
        return int(call("GET", f"http://{self.peer_by_name[name]}/passed").data)

    def start_worker(self, name, **options):
        """Start a worker and put it on the list."""
        arguments = [f"{key}={value}" for key, value in options.items()]
        self.start(name, "standins.worker", *arguments)
        labels = {"role": "worker", "vm": name}
        self.listed.append({"targets": [self.http_by_name[name]], "labels": labels})
        self.publish_list()

    def publish_list(self):
        """Make the list of VMs say what self.listed says."""
        call("PUT", self.url("vmlist", "/vms"), msgspec.json.encode(self.listed))

    def write_settings(self, name, **changes):
        """Write the settings file of an entry or a placer."""
        values = {
            "name": name,
            "vm": f"vm-{name}",
            "hall": "h0",
            "http_port": 0,
            "peer_port": 0,
            "peer_address": "",
            "store": self.url("kv"),
            "vms": self.url("vmlist", "/vms"),
            "seeds": "",
            "vms_period_s": 0.2,
            "beat_s": 0.1,
            "lease_s": 1.0,
            "vm_gone_s": 30.0,
        }
        path = self.folder / f"{name}.ini"
        path.write_text(ENTRY_SETTINGS.format(**(values | changes)))
        return str(path)

    def start_entry(self, name, module="thornport.entry", **changes):
        """Start an entry."""
        return self.start(name, module, self.write_settings(name, **changes))

    def start_placer(self, name, **changes):
        """Start a placer."""
        path = self.write_settings(name, **changes)
        return self.start(name, "thornport.placement", path)

    def run_command(self, *arguments):
        """Run the command line to its end."""
        return subprocess.run(
            [sys.executable, "-m", "thornport.commands.main", *arguments],
            capture_output=True,
            text=True,
            timeout=PATIENCE_S,
            env=os.environ | {"NO_COLOR": "1", "TERM": "dumb"},
        )

    def apply(self, text=DECLARATIONS):
        """Apply declarations with the command line."""
        path = self.folder / "declarations.ini"
        path.write_text(text)
        done = self.run_command(
            "settings", "apply", str(path), "--store", self.url("kv")
        )
        assert done.returncode == 0, done.stderr
        return done.stdout

    def set_faults(self, **faults):
        """Switch faults of the key-value service; all others off."""
        call("POST", self.url("kv", "/faults"), msgspec.json.encode(faults))

    def wait_ready(self, *names):
        """Wait until entries are ready."""
        for name in names:
            url = self.url(name, "/ready")
            wait_until(lambda u=url: call("GET", u).status == 200, f"{name} ready")

    def request(self, name, body=b"x", service="press-desk", timeout_s=10.0, **headers):
        """Send a caller's request to an entry."""
        sent = {"Thornport-Workspace": "press"}
        sent |= {key.replace("_", "-"): value for key, value in headers.items()}
        url = self.url(name, f"/v1/requests/{service}")
        return call("POST", url, body, sent, timeout_s)

    def wait_slots(self, total, *names, service="press-desk"):
        """Wait until entries together hold all slots of a service."""

        def count():
            held = [call_json("GET", self.url(n, "/v1/status")) for n in names]
            return sum(h["slots"].get(service, 0) for h in held) == total

        wait_until(count, f"{total} slots held")

    def count_runs(self, service="press-desk"):
        """Ask all backend servers of a service for their counts."""
        names = [name for name in self.by_name if name.startswith(service + "-")]
        return {n: call_json("GET", self.url(n, "/counts")) for n in names}


class Load:
    """Callers in threads: each sends its own bodies and checks its answers.

    `results` has a Result for each request that has got its outcome.
    """

    def __init__(self, cell, entries, callers=8, **headers):
        self.cell = cell
        self.entries = list(entries)
        self.headers = headers
        self.results = []
        self.stopping = threading.Event()
        self.threads = [
            threading.Thread(target=self.run, args=(number,), daemon=True)
            for number in range(callers)
        ]
        for thread in self.threads:
            thread.start()

    def run(self, caller):
        """Send requests one after another until told to stop."""
        count = 0
        while not self.stopping.is_set():
            count += 1
            body = f"{caller}-{count}".encode()
            entry = self.entries[(caller + count) % len(self.entries)]
            headers = dict(self.headers)
            if headers.get("Thornport_Repeatable") == "no":
                headers["Idempotency_Key"] = body.decode()
            self.results.append(self.send(entry, body, headers))

    def send(self, entry, body, headers):
        """Send one request and note what came of it."""
        try:
            answer = self.cell.request(entry, body, **headers)
        except urllib3.exceptions.HTTPError as error:
            return Result(entry, body, "none", repr(error), time.monotonic())
        outcome = answer.headers.get("Thornport-Outcome", "none")
        whole = outcome != "answered" or answer.data == body
        detail = "" if outcome == "answered" else answer.data.decode()
        return Result(
            entry, body, outcome if whole else "wrong", detail, time.monotonic()
        )

    def wait_for(self, count):
        """Wait for so many more outcomes."""
        wanted = len(self.results) + count
        wait_until(lambda: len(self.results) >= wanted, f"{wanted} outcomes")

    def stop(self):
        """Stop all callers and return the results."""
        self.stopping.set()
        for thread in self.threads:
            thread.join(PATIENCE_S)
        return self.results


class Result(msgspec.Struct):
    """What came of one request."""

    entry: str
    body: bytes
    outcome: str
    detail: str
    at: float
