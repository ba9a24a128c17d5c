"""Scheduler processes on a stand-in platform, for proofs and the soak."""

import base64
import concurrent.futures
import itertools

import msgspec
import urllib3

from tests import harness
from thornport.cell.owner import ownership

SETTINGS = """
[process]
name = {name}
hall = h1
[listen]
ip = 127.0.0.1
jobs = 127.0.0.1:0
ready = 127.0.0.1:0
peer_port = 0
metrics_port = 0
[services]
store = {store}
advice = {advice}
[bounds]
grace_s = {grace_s}
status_s = {status_s}
stop_ms = 300
"""
STATUS_S = 120.0  # as the platform promises
MAX_ATTEMPTS = 3
GRACE_S = 1.5  # short, so that tests of planned stops take no longer than they must
HOST = "press.example"
URGENT_PATH = "/editions/urgent/"  # a job there is shown and cancelled as the others
CONFIG = {
    "version": 1,
    "routes": [
        {
            "name": "editions",
            "host": HOST,
            "path_prefix": "/editions/",
            "service": "press-desk",
            "priority": 1,
            "max_attempts": MAX_ATTEMPTS,
            "stretch": 2.0,
            "target_latency_ms": 1000,
            "advice": {"decide_ms": 5.0, "each_ms": 0.1, "valid_ms": 1500},
        },
        {
            "name": "urgent",
            "host": HOST,
            "path_prefix": URGENT_PATH,
            "service": "press-desk",
            "priority": 0,
            "max_attempts": MAX_ATTEMPTS,
            "stretch": 2.0,
            "target_latency_ms": 1000,
            "advice": {"decide_ms": 5.0, "each_ms": 0.1, "valid_ms": 1500},
        },
    ],
    "services": [{"name": "press-desk", "rejects_overload": False}],
    "limits": {"max_body_bytes": 262144},
}


def make_config(version, *workspaces, **more):
    """Make a version of the configuration.

    Args:
      version: An int.
      workspaces: What `make_workspace` has made; without any, whoever comes is let in.
      more: Other fields, in place of those of CONFIG.
    Returns:
      A dict, as the operator writes it.
    """
    named = {"tenants": list(workspaces)} if workspaces else {}
    return CONFIG | {"version": version} | named | more


def make_workspace(name, *keys, cores=0, weight=10):
    """Make a workspace of a configuration; its limit is some cores, 0 for none."""
    return {
        "name": name,
        "api_keys": list(keys),
        "weight": weight,
        "max_items": {"cpu": cores * 1000, "mem_mb": 0, "gpu": 0},
    }


def make_job(count=2, run_ms=200, **more):
    """Make the body of a job: a step, and one that comes after it."""
    step = {"count": count, "cpu": 4000, "mem_mb": 100, "est_runtime_ms": run_ms}
    after = {"count": 1, "cpu": 1000, "mem_mb": 10, "est_runtime_ms": 50, "after": [0]}
    return {"spec": "text", "steps": [step | more, after]}


def make_headers(key):
    """Make the headers of a call with a key; None for none."""
    return {"Host": HOST} | ({"Api-Key": key} if key else {})


class Schedulers(harness.Cell):
    """Scheduler processes on a stand-in platform."""

    def __init__(
        self,
        count,
        workers=3,
        has_proxies=False,
        grace_s=GRACE_S,
        proxied=None,
        starts_at_once=1,
        status_s=STATUS_S,
        advice_silent_every=0,
        platform_options=None,
    ):
        """Start a platform and schedulers; nothing is left running if that fails.

        Args:
          count, workers: Ints, how many of each.
          has_proxies: Whether each scheduler reaches the store by a proxy of
            its own, named `store-of-NAME`.
          grace_s: A float, from the order to stop until a process has to be gone.
          proxied: An int, how many have a proxy if not all or none.
          starts_at_once: An int, how many schedulers start beside one another.
          status_s: A float, how long ended jobs are told of.
          advice_silent_every: An int, of so many calls for advice one has no answer; 0
            for none.
          platform_options: A dict, other options of the stand-in platform by name.
        """
        super().__init__()
        self.key = None  # of a workspace, for calls that name no other
        self.grace_s = grace_s
        self.status_s = status_s
        # Unlike a generator it can be asked by several threads at once.
        self.ids = map("{:016x}".format, itertools.count(1))
        self.names = [f"scheduler-{number}" for number in range(count)]
        if proxied is None:
            proxied = count if has_proxies else 0
        self.proxied = self.names[:proxied]
        try:
            options = {"workers": workers, "advice_silent_every": advice_silent_every}
            self._start_all(options | (platform_options or {}), starts_at_once)
        except Exception:
            self.end_processes()
            raise
        except BaseException:
            # Interrupted: there is nothing to learn from the logs.
            self.close()
            raise

    def _start_all(self, platform_options, starts_at_once):
        arguments = [f"{name}={value}" for name, value in platform_options.items()]
        platform = self.start("platform", "standins.platform", *arguments)
        self.advice = platform.wait_for(r"event=advice http=(\S+)")[1]
        self.put_config(CONFIG)
        pool = concurrent.futures.ThreadPoolExecutor(starts_at_once)
        try:
            list(pool.map(self._start_with_proxy, self.names))
        finally:
            pool.shutdown(cancel_futures=True)
        for name in self.names:
            self.by_name[name].wait_for(r"event=config-in-force")

    def _start_with_proxy(self, name):
        if name in self.proxied:
            self.start_proxy(f"store-of-{name}", "platform")
        self.start_scheduler(name)

    def start_scheduler(self, name):
        """Start a scheduler process, or start it again."""
        path = self.folder / f"{name}.ini"
        store = f"store-of-{name}" if name in self.proxied else "platform"
        values = {"name": name, "store": self.http_by_name[store]}
        values |= {"advice": self.advice, "grace_s": self.grace_s}
        values["status_s"] = self.status_s
        path.write_text(SETTINGS.format(**values))
        return self.start(name, "thornport.platform", str(path))

    def put_config(self, config):
        """Write the configuration as the operator does."""
        value = base64.b64encode(msgspec.json.encode(config))
        harness.call("PUT", self.url("platform", "/operator/op/config"), value)

    def send(self, method, name, path, body=None, timeout_s=5.0, key=None):
        """Call a scheduler as a caller does, with a key if one is given.

        Returns:
          The answer, None when there is none.
        """
        data = msgspec.json.encode(body) if body is not None else None
        headers = make_headers(key or self.key)
        try:
            return harness.call(method, self.url(name, path), data, headers, timeout_s)
        except urllib3.exceptions.HTTPError:
            return None

    def submit(self, name, body=None, job_id=None, key=None):
        """Hand in a job; returns its ID and the status, 0 for no answer."""
        job_id = job_id or next(self.ids)
        path = f"/editions/{job_id}"
        answer = self.send("POST", name, path, body or make_job(), key=key)
        return job_id, answer.status if answer is not None else 0

    def read_state(self, name, job_id, key=None):
        """Ask for a job's state; empty when there is no such answer."""
        answer = self.send("GET", name, f"/editions/{job_id}", key=key)
        if answer is None or answer.status != 200:
            return ""
        return msgspec.json.decode(answer.data)["state"]

    def wait_state(self, name, job_id, state, key=None):
        """Wait for a job's state."""
        harness.wait_until(
            lambda: self.read_state(name, job_id, key) == state, f"{job_id} {state}"
        )

    def find_owner(self):
        """Wait until one scheduler decides; returns its name."""

        def look():
            return next((name for name in self.names if self.is_deciding(name)), None)

        return harness.wait_until(look, "an owner")

    def is_deciding(self, name):
        """Whether a scheduler lives and decides, by its log."""
        process = self.by_name[name]
        log = process.read_log()
        decides = log.rfind("event=deciding") > log.rfind("event=not-deciding")
        return process.popen.poll() is None and decides

    def find_holder(self):
        """Wait until the scheduler that the store names as the owner decides.

        One that was not run for the time of its lease may be replaced, and its log does
        not tell yet.

        Returns:
          Its name.
        """
        url = self.url("platform", f"/-/kv-key?key={ownership.OWNER_KEY}")

        def look():
            answer = harness.call("GET", url)
            if answer.status != 200:
                return None
            item = msgspec.json.decode(answer.data)
            name = ownership.decode_owner(base64.b64decode(item["value"])).name
            return name if self.is_deciding(name) else None

        return harness.wait_until(look, "a holder of the owner's key")

    def set_platform_faults(self, **faults):
        """Switch faults of the platform's store; all others off."""
        url = self.url("platform", "/faults")
        harness.call("POST", url, msgspec.json.encode(faults))

    def read_seen(self):
        """What the workers saw."""
        return harness.call_json("GET", self.url("platform", "/seen"))
