"""HTTP interface for callers: submits, reads, cancels and counts jobs."""

import klein
import msgspec
from returns import result

from thornport.cell import web
from thornport.jobs import intake, record, spec
from thornport.kernel import clock, logs, webreply
from thornport.platform import jobs

DEADLINE_HEADER = "Thornport-Deadline-Ms"
KEY_HEADER = b"Api-Key"
ID_DIGITS = 16  # hex digits of a job's ID, chosen by the caller
DEFAULT_DEADLINE_MS = 3000  # the callers' usual deadline
MAX_DEADLINE_DIGITS = 12  # of milliseconds: 31 years


class WireState(msgspec.Struct, frozen=True):
    """The answer to a GET of a job."""

    state: str


class WireWaiting(msgspec.Struct, frozen=True):
    """The answer to a GET of a queue."""

    waiting: int


def make_app(daemon):
    """Make the HTTP interface for callers.

    Args:
      daemon: A daemon.SchedulerDaemon.
    Returns:
      A klein.Klein.
    """
    app = klein.Klein()

    @app.route("/", branch=True)
    async def take(request):
        if daemon.config is None:
            return webreply.refuse(request, 503, "no configuration yet")
        host = request.getRequestHostname().decode("latin-1")
        path = request.path.decode("latin-1")
        queue = daemon.configuring.find_queue(host, path)
        if queue is None:
            return web.answer_no_queue(daemon, request, "no such queue")
        key = request.getHeader(KEY_HEADER)
        identified = daemon.configuring.identify(queue, key)
        if isinstance(identified, result.Failure):
            return web.answer_denied(daemon, request, identified.failure())
        caller = identified.unwrap()
        rest = path.removeprefix(queue.path_prefix)
        if not daemon.is_ready():
            # Makes the caller's next connection go to another process.
            request.setHeader("Connection", "close")
        if request.method == b"GET" and not rest:
            return await count_waiting(daemon, request, queue)
        if not is_job_id(rest):
            return webreply.answer(request, 404, webreply.Problem("no such job"))
        if request.method == b"POST":
            return await submit(daemon, request, queue, rest, caller)
        if request.method == b"GET":
            return await read_state(daemon, request, rest, caller)
        if request.method == b"DELETE":
            return await cancel(daemon, request, rest, caller)
        return webreply.answer(request, 405, webreply.Problem("GET, POST or DELETE"))

    return app


def make_ready_app(daemon):
    """Make the readiness interface for the load balancer.

    Args:
      daemon: A daemon.SchedulerDaemon.
    Returns:
      A klein.Klein.
    """
    app = klein.Klein()

    @app.route("/-/ready")
    def ready(request):
        request.setResponseCode(200 if daemon.is_ready() else 503)
        return b""

    return app


async def submit(daemon, request, queue, job_id, caller):
    """Submit a job."""
    body = request.content.read()
    if len(body) > daemon.config.max_body_bytes:
        return webreply.answer(request, 413, webreply.Problem("the body is too large"))
    try:
        job = jobs.decode_job(body)
    except spec.SpecError as error:
        return webreply.answer(request, 400, webreply.Problem(str(error)))
    now = clock.read_monotonic()
    job_record = record.make_record(job_id, queue, job, caller)
    outcome = await daemon.serving.submit(job_record, read_deadline(request, now))
    if isinstance(outcome, intake.Accepted):
        return webreply.answer(request, 200, WireState(record.JobState.QUEUED.value))
    return web.answer_not_accepted(request, outcome)


async def read_state(daemon, request, job_id, caller):
    """Answer with the state of a job."""
    deadline = read_deadline(request, clock.read_monotonic())
    read = await daemon.serving.read_state(job_id, caller, deadline)
    if isinstance(read, result.Failure):
        return webreply.refuse(request, 503, read.failure().reason)
    state = read.unwrap()
    if state is None:
        return webreply.answer(request, 410, webreply.Problem("no such job"))
    return webreply.answer(request, 200, WireState(state.value))


async def cancel(daemon, request, job_id, caller):
    """Cancel a job."""
    deadline = read_deadline(request, clock.read_monotonic())
    outcome = await daemon.serving.cancel(job_id, caller, deadline)
    if isinstance(outcome, intake.Accepted):
        return webreply.answer(request, 200, WireState(record.JobState.CANCELLED.value))
    if isinstance(outcome, intake.NoSuchJob):
        return webreply.answer(request, 410, webreply.Problem("no such job"))
    return web.answer_not_accepted(request, outcome)


async def count_waiting(daemon, request, queue):
    """Answer with the number of jobs of a queue that have not begun."""
    deadline = read_deadline(request, clock.read_monotonic())
    read = await daemon.serving.count_waiting(queue.name, deadline)
    if isinstance(read, result.Failure):
        return webreply.refuse(request, 503, read.failure().reason)
    return webreply.answer(request, 200, WireWaiting(read.unwrap()))


def is_job_id(text):
    """Tell whether a text is a job's ID."""
    return len(text) == ID_DIGITS and all(c in "0123456789abcdef" for c in text)


def read_deadline(request, now):
    """Read the deadline of a request.

    Args:
      request: A twisted request.
      now: A float, monotonic seconds.
    Returns:
      A float, monotonic seconds.
    """
    text = request.getHeader(DEADLINE_HEADER) or ""
    is_usable = text.isascii() and text.isdigit() and len(text) <= MAX_DEADLINE_DIGITS
    if text and not is_usable:
        logs.log("deadline-odd", text=text[:MAX_DEADLINE_DIGITS])
    wait_ms = int(text) if is_usable else DEFAULT_DEADLINE_MS
    return now + wait_ms / 1000
