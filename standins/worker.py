"""A stand-in for a worker: runs tasks under leases and reports usage late.

`PUT /tasks/ID` starts a task, `POST /leases` renews, `DELETE /tasks/ID`
stops, `GET /status` reports. A task whose lease lapses is stopped here. A
`fail_all` worker fails every task it starts.
"""

import secrets
import time

import klein
import msgspec
from twisted.internet import task

from standins import serve

TICK_S = 0.05


class Options(msgspec.Struct):
    """Options of the command line."""

    cores: float = 64
    memory_mb: int = 131072
    accelerators: int = 0
    rack: str = "r1"
    hall: str = "h1"
    fail_all: bool = False
    port: int = 0


class Start(msgspec.Struct):
    """The body of a start."""

    run_id: str
    cores: float
    memory_mb: int
    accelerators: int
    run_ms: int
    lease_ms: int


class Renewal(msgspec.Struct):
    """The body of a renewal: milliseconds of lease by run id."""

    lease_ms: int
    run_ids: list[str]


class Run:
    """One run of a task."""

    def __init__(self, task_id, start, now):
        self.task_id = task_id
        self.start = start
        self.state = "running"
        self.started_at = now
        self.ended_at = 0.0
        self.lease_deadline = now + start.lease_ms / 1000
        self.finish_at = now + start.run_ms / 1000


class Worker:
    """The runs on this worker by run id."""

    def __init__(self, options):
        self.options = options
        self.incarnation = secrets.token_hex(4)
        self.by_run_id = {}
        self.most_running_by_task = {}
        self.over_capacity = 0

    def begin(self, task_id, start, now):
        """Start a run, once however often it is asked for."""
        if start.run_id in self.by_run_id:
            return
        run = Run(task_id, start, now)
        if self.options.fail_all:
            run.state = "failed"
        self.by_run_id[start.run_id] = run
        running = [r for r in self.by_run_id.values() if r.state == "running"]
        used = sum(r.start.cores for r in running)
        if used > self.options.cores:
            self.over_capacity += 1

    def tick(self):
        """Finish and lapse what is due."""
        now = time.monotonic()
        for run in self.by_run_id.values():
            if run.state != "running":
                continue
            if now >= run.finish_at:
                run.state, run.ended_at = "finished", now
            elif now >= run.lease_deadline:
                run.state, run.ended_at = "lapsed", now

    def describe(self):
        """Describe the worker as its status answer does."""
        now = time.monotonic()
        runs = [
            {
                "run_id": run_id,
                "task_id": run.task_id,
                "started_at": run.started_at,
                "ended_at": run.ended_at,
                "state": run.state,
                "cores": run.start.cores,
                "memory_mb": run.start.memory_mb,
                "accelerators": run.start.accelerators,
                "lease_remaining_ms": max(0, int((run.lease_deadline - now) * 1000)),
            }
            for run_id, run in self.by_run_id.items()
        ]
        options = msgspec.to_builtins(self.options)
        said = {"incarnation": self.incarnation, "over_capacity": self.over_capacity}
        return options | said | {"runs": runs}


def make_app(worker):
    """Make the HTTP interface.

    Args:
      worker: A Worker.
    Returns:
      A klein.Klein.
    """
    app = klein.Klein()

    @app.route("/status", methods=["GET"])
    def status(request):
        worker.tick()
        return msgspec.json.encode(worker.describe())

    @app.route("/tasks/<path:task_id>", methods=["PUT"])
    def start(request, task_id):
        body = msgspec.json.decode(request.content.read(), type=Start)
        worker.begin(task_id, body, time.monotonic())
        return b"{}"

    @app.route("/runs/<run_id>", methods=["DELETE"])
    def stop(request, run_id):
        run = worker.by_run_id.get(run_id)
        if run and run.state == "running":
            run.state, run.ended_at = "stopped", time.monotonic()
        return b"{}"

    @app.route("/leases", methods=["POST"])
    def renew(request):
        body = msgspec.json.decode(request.content.read(), type=Renewal)
        now = time.monotonic()
        for run_id in body.run_ids:
            run = worker.by_run_id.get(run_id)
            if run and run.state == "running":
                run.lease_deadline = now + body.lease_ms / 1000
        return b"{}"

    return app


def main():
    """Run as a process."""
    options = serve.read_options(Options)
    worker = Worker(options)
    task.LoopingCall(worker.tick).start(TICK_S)
    serve.run(make_app(worker), options.port)


if __name__ == "__main__":
    main()
