"""The project's own HTTP interface for jobs.

It is served on the port of the metrics, for operators and for platforms without an
interface of their own; `thornport jobs` is a client of it. Bodies are the types of
`jobs.spec`, `cell.explaining` and this module, as JSON.
"""

import msgspec
from returns import result

from thornport.cell import configuring
from thornport.jobs import intake, record, spec, workspace
from thornport.kernel import clock, webreply

CALL_TIMEOUT_S = 3.0  # of a call of this interface
MAX_ID_CHARS = 64  # a job's ID is part of keys, which have 200 bytes at most
AUTHORIZATION_SCHEME = b"Bearer"
ID_CHARS = frozenset("abcdefghijklmnopqrstuvwxyz0123456789-")


class StateView(msgspec.Struct, frozen=True):
    """The state of a job."""

    job_id: str
    state: record.JobState


class QueueView(msgspec.Struct, frozen=True):
    """A queue.

    Attributes:
      waiting: An int, the jobs of which no task has begun; None in the list of queues.
    """

    name: str
    priority: int
    service: str
    waiting: int | None = None


def add_routes(app, daemon):
    """Add all routes of the interface to an app.

    Args:
      app: A klein.Klein.
      daemon: A daemon.SchedulerDaemon.
    """
    add_queue_routes(app, daemon)
    add_submit_route(app, daemon)
    add_list_route(app, daemon)
    add_job_routes(app, daemon)
    add_workspaces_route(app, daemon)


def add_queue_routes(app, daemon):
    """Add the routes of queues; arguments as for `add_routes`."""

    @app.route("/v1/queues", methods=["GET"])
    def list_queues(request):
        queues = daemon.config.queues if daemon.config else ()
        views = [QueueView(q.name, q.priority, q.service) for q in queues]
        return webreply.answer(request, 200, views)

    @app.route("/v1/queues/<name>", methods=["GET"])
    async def show_queue(request, name):
        queue = find_queue(daemon, name)
        if queue is None:
            return answer_no_queue(daemon, request, f"no queue {name}")
        deadline = clock.read_monotonic() + CALL_TIMEOUT_S
        read = await daemon.serving.count_waiting(name, deadline)
        if isinstance(read, result.Failure):
            return webreply.refuse(request, 503, read.failure().reason)
        view = QueueView(name, queue.priority, queue.service, read.unwrap())
        return webreply.answer(request, 200, view)


def add_submit_route(app, daemon):
    """Add the route that submits jobs; arguments as for `add_routes`."""

    @app.route("/v1/queues/<name>/jobs/<job_id>", methods=["PUT"])
    async def submit(request, name, job_id):
        queue = find_queue(daemon, name)
        if queue is None:
            return answer_no_queue(daemon, request, f"no queue {name}")
        try:
            job = decode_job(job_id, request.content.read())
        except spec.SpecError as error:
            return webreply.answer(request, 400, webreply.Problem(str(error)))
        identified = identify(daemon, request, queue)
        if isinstance(identified, result.Failure):
            return answer_denied(
                daemon, request, identified.failure(), AUTHORIZATION_SCHEME
            )
        now = clock.read_monotonic()
        job_record = record.make_record(job_id, queue, job, identified.unwrap())
        outcome = await daemon.serving.submit(job_record, now + CALL_TIMEOUT_S)
        return answer_outcome(request, job_id, outcome, record.JobState.QUEUED)


def add_list_route(app, daemon):
    """Add the list of jobs, served by the owner only; arguments as for `add_routes`."""

    @app.route("/v1/jobs", methods=["GET"])
    def list_jobs(request):
        core = daemon.get_core()
        if core is None:
            return answer_not_owner(request, daemon)
        text = request.args.get(b"state", [b""])[0].decode("latin-1")
        try:
            state = record.JobState(text) if text else None
        except ValueError:
            return webreply.answer(request, 400, webreply.Problem(f"state: {text}"))
        return webreply.answer(request, 200, core.list_jobs(state))


def add_job_routes(app, daemon):
    """Add the routes that show and cancel a job; arguments as for `add_routes`."""

    @app.route("/v1/jobs/<job_id>", methods=["GET"])
    async def show_job(request, job_id):
        core = daemon.get_core()
        view = core and core.explain_job(job_id, clock.read_monotonic())
        if view:
            return webreply.answer(request, 200, view)
        deadline = clock.read_monotonic() + CALL_TIMEOUT_S
        caller = workspace.OPERATOR
        read = await daemon.serving.read_state(job_id, caller, deadline)
        if isinstance(read, result.Failure):
            return webreply.refuse(request, 503, read.failure().reason)
        if read.unwrap() is None:
            return answer_no_job(request, job_id)
        return webreply.answer(request, 200, StateView(job_id, read.unwrap()))

    @app.route("/v1/jobs/<job_id>", methods=["DELETE"])
    async def cancel(request, job_id):
        deadline = clock.read_monotonic() + CALL_TIMEOUT_S
        outcome = await daemon.serving.cancel(job_id, workspace.OPERATOR, deadline)
        return answer_outcome(request, job_id, outcome, record.JobState.CANCELLED)


def add_workspaces_route(app, daemon):
    """Add the workspaces, served by the owner only; arguments as for `add_routes`."""

    @app.route("/v1/workspaces", methods=["GET"])
    def list_workspaces(request):
        core = daemon.get_core()
        if core is None:
            return answer_not_owner(request, daemon)
        return webreply.answer(request, 200, core.list_workspaces())


def find_queue(daemon, name):
    """Find a queue by its name.

    Args:
      daemon: A daemon.SchedulerDaemon.
      name: A str.
    Returns:
      A queue.Queue, or None when there is none.
    """
    queues = daemon.config.queues if daemon.config else ()
    return next((queue for queue in queues if queue.name == name), None)


def decode_job(job_id, body):
    """Decode and check a job.

    Args:
      job_id: A str, chosen by the caller.
      body: Bytes.
    Returns:
      A spec.Job.
    Raises:
      spec.SpecError: The ID or the body is invalid; the message names the place.
    """
    if not 0 < len(job_id) <= MAX_ID_CHARS or not ID_CHARS.issuperset(job_id):
        raise spec.SpecError(f"job ID: 1 to {MAX_ID_CHARS} of a-z, 0-9 and -")
    try:
        job = msgspec.json.decode(body, type=spec.Job)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise spec.SpecError(str(error)) from error
    spec.check_job(job)
    return job


def answer_outcome(request, job_id, outcome, state):
    """Answer a submitted job or cancellation with its outcome.

    Args:
      request: A twisted request.
      job_id: A str.
      outcome: An outcome of intake.
      state: The record.JobState if it was accepted.
    Returns:
      Bytes, the body.
    """
    if isinstance(outcome, intake.Accepted):
        return webreply.answer(request, 200, StateView(job_id, state))
    if isinstance(outcome, intake.NoSuchJob):
        return answer_no_job(request, job_id)
    return answer_not_accepted(request, outcome)


def identify(daemon, request, queue):
    """Identify the workspace that submits a job by the `Authorization` header.

    Args:
      daemon: A daemon.SchedulerDaemon.
      request: A twisted request.
      queue: A queue.Queue.
    Returns:
      As for `configuring.Configuring.identify`.
    """
    scheme, _, key = (request.getHeader(b"Authorization") or b"").partition(b" ")
    is_key = scheme.lower() == AUTHORIZATION_SCHEME.lower()
    return daemon.configuring.identify(queue, key.strip() if is_key else None)


def answer_denied(daemon, request, denial, scheme=None):
    """Answer a caller that is denied.

    Args:
      daemon: A daemon.SchedulerDaemon.
      request: A twisted request.
      denial: A configuring.Denial.
      scheme: Bytes, the scheme of `Authorization`; None where another header has the
        key.
    Returns:
      Bytes, the body.
    """
    daemon.metrics.count(f"callers.denied.{denial.value}")
    if denial is configuring.Denial.UNKNOWN:
        if scheme:
            request.setHeader("WWW-Authenticate", scheme)
        problem = webreply.Problem("no key of a workspace")
        return webreply.answer(request, 401, problem)
    return answer_unconfirmed(request)


def answer_not_accepted(request, outcome):
    """Answer a submitted job or cancellation that was not accepted for certain.

    Args:
      request: A twisted request.
      outcome: An intake.Taken, Cancelled, Refused or Unknown.
    Returns:
      Bytes, the body.
    """
    if isinstance(outcome, intake.Taken):
        problem = webreply.Problem("the ID is another job's")
        return webreply.answer(request, 409, problem)
    if isinstance(outcome, intake.Cancelled):
        problem = webreply.Problem("the job was cancelled before it was accepted")
        return webreply.answer(request, 409, problem)
    if outcome.retry_s == intake.ELSEWHERE_RETRY_S:
        # A retry on this connection would reach the same process, which can't serve it.
        request.setHeader("Connection", "close")
    status = 503 if isinstance(outcome, intake.Refused) else 504
    return webreply.refuse(request, status, outcome.reason, outcome.retry_s)


def answer_no_queue(daemon, request, problem):
    """Answer that a queue does not exist, if the configuration is confirmed.

    Otherwise the queue may have been added since the last confirmation.

    Args:
      daemon: A daemon.SchedulerDaemon.
      request: A twisted request.
      problem: A str.
    Returns:
      Bytes, the body.
    """
    if daemon.configuring.is_confirmed():
        return webreply.answer(request, 404, webreply.Problem(problem))
    return answer_unconfirmed(request)


def answer_unconfirmed(request):
    """Refuse a caller so that it retries elsewhere.

    Another process may have a newer version of the configuration.

    Args:
      request: A twisted request.
    Returns:
      Bytes, the body.
    """
    request.setHeader("Connection", "close")
    return webreply.refuse(request, 503, "the configuration may be out of date")


def answer_no_job(request, job_id):
    """Answer that a job does not exist.

    Args:
      request: A twisted request.
      job_id: A str.
    Returns:
      Bytes, the body.
    """
    return webreply.answer(request, 404, webreply.Problem(f"no job {job_id}"))


def answer_not_owner(request, daemon):
    """Answer with the name of the owner, which can serve the request.

    Args:
      request: A twisted request.
      daemon: A daemon.SchedulerDaemon.
    Returns:
      Bytes, the body.
    """
    owner = daemon.owner_name or "nobody"
    problem = webreply.Problem(f"{owner} owns the cell and can tell")
    return webreply.answer(request, 421, problem)
