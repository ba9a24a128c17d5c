"""The placer process: joins the pure placer to workers, store and operators."""

import klein
import msgspec
import treq
from returns import result
from twisted.internet import defer
from twisted.web import client as webclient
from twisted.web import server

from thornport.fleet import vmlist
from thornport.kernel import clock, ids, logs, metrics, tasks
from thornport.placement import model, placer, workers
from thornport.settings import inforce, watcher
from thornport.store import client as storeclient
from thornport.store import port

JOBS_PREFIX = "thornport/jobs/"
REPORT_PERIOD_S = 0.5
WORKER_TIMEOUT_S = 2.0


class JobRecord(msgspec.Struct, frozen=True):
    """What is kept of a job in the store."""

    state: str


class PlacerDaemon:
    """One placer process."""

    def __init__(self, reactor, settings):
        """Make the parts; nothing is opened yet.

        Args:
          reactor: Twisted's reactor.
          settings: A procconf.ProcessSettings.
        """
        self._reactor = reactor
        self._settings = settings
        self._metrics = metrics.Metrics(
            settings.metrics.ip or None, settings.metrics.port
        )
        platform = settings.platform
        self._store = storeclient.StoreClient(
            reactor, platform.store, platform.store_timeout_s, self._metrics
        )
        pool = webclient.HTTPConnectionPool(reactor)
        pool.retryAutomatically = False
        agent = webclient.Agent(reactor, pool=pool)
        self._http = treq.client.HTTPClient(agent)
        self._workers = workers.WorkerClient(self._http, WORKER_TIMEOUT_S)
        self._in_force = inforce.InForce()
        self._placer = placer.Placer(ids.make_incarnation())
        self._addresses = []
        self._jobs_known = False

    def start(self):
        """Open the socket and start the periodic work."""
        listen = self._settings.listen
        site = server.Site(self._make_app().resource())
        bound = self._reactor.listenTCP(listen.http_port, site, interface=listen.ip)
        logs.log("listening", http=f"{listen.ip}:{bound.getHost().port}")
        watching = watcher.watch_head(self._reactor, self._store, self._take_settings)
        tasks.spawn(watching, "watch-settings")
        for period_s, action, what in (
            (self._settings.platform.vms_period_s, self._read_vms, "read-vms"),
            (REPORT_PERIOD_S, self._read_reports, "read-reports"),
            (placer.RENEW_PERIOD_S, self._renew, "renew"),
        ):
            tasks.call_periodically(self._reactor, period_s, action, what)
        self._read_vms()

    def stop(self):
        """Stop. Runs go on under their leases until another placer adopts them.

        Returns:
          A Deferred that fires when done.
        """
        return defer.succeed(None)

    def _make_app(self):
        app = klein.Klein()

        @app.route("/v1/jobs", methods=["GET"])
        def list_jobs(request):
            request.setHeader("Content-Type", "application/json")
            return msgspec.json.encode(describe_jobs(self._placer))

        return app

    def _take_settings(self, data):
        if self._in_force.offer(data):
            logs.log("settings-in-force", revision=self._in_force.revision)

    def _read_vms(self):
        return tasks.spawn(self._read_vms_now(), "read-vms")

    async def _read_vms_now(self):
        url = self._settings.platform.vms
        read = await vmlist.read_list(self._http, url, WORKER_TIMEOUT_S)
        if isinstance(read, result.Failure):
            logs.log("vms-unavailable", reason=read.failure().reason)
            return
        listed = vmlist.select_role(read.unwrap(), vmlist.Role.WORKER)
        self._addresses = sorted(listed)

    async def _read_jobs(self):
        """Learn which jobs have finished before any is placed."""
        read = await self._store.list_prefix(JOBS_PREFIX)
        if isinstance(read, result.Failure):
            return
        names = (key.removeprefix(JOBS_PREFIX) for key in read.unwrap())
        self._placer.finished_jobs.update(names)
        self._jobs_known = True

    async def _read_reports(self):
        if not self._jobs_known:
            await self._read_jobs()
        reading = [
            tasks.spawn(self._read_report(address), "read-report")
            for address in self._addresses
        ]
        await defer.gatherResults(reading)
        now = clock.read_monotonic()
        self._placer.lapse(now)
        if self._jobs_known:
            self._placer.take_config(self._in_force.config)
            self._carry_out(self._placer.place(now))

    async def _read_report(self, address):
        read = await self._workers.read_report(address)
        if isinstance(read, result.Success):
            now = clock.read_monotonic()
            self._carry_out(self._placer.take_report(address, read.unwrap(), now))

    def _renew(self):
        self._carry_out(self._placer.renew(clock.read_monotonic()))

    def _carry_out(self, commands):
        for command in commands:
            if isinstance(command, model.JobFinished):
                tasks.spawn(self._record_finished(command.job_name), "record-job")
                continue
            if isinstance(command, model.StartRun):
                logs.log("start-run", task=command.task_id, worker=command.worker)
            tasks.spawn(self._send(command), "send-command")

    async def _send(self, command):
        sent = await workers.send_command(command, self._workers)
        if isinstance(sent, result.Failure):
            logs.log("command-unanswered", reason=sent.failure().reason)

    async def _record_finished(self, job_name):
        logs.log("job-finished", job=job_name)
        value = msgspec.json.encode(JobRecord("finished"))
        key = JOBS_PREFIX + job_name
        while True:
            written = await port.resolve_write(
                self._store, key, value, port.ABSENT_INDEX
            )
            conflict = port.is_failure(written, port.Conflict)
            if isinstance(written, result.Success) or conflict:
                return
            await tasks.sleep(self._reactor, watcher.RETRY_STORE_S)


def describe_jobs(state):
    """Describe every job for operators.

    Args:
      state: A placer.Placer.
    Returns:
      A dict from job name to a dict from task id to state and attempts.
    """
    jobs = {name: {} for name in state.finished_jobs}
    for task in state.tasks_by_id.values():
        described = {"state": task.state.value, "attempts": task.attempts}
        jobs.setdefault(task.job_name, {})[task.task_id] = described
    return {
        name: {"finished": name in state.finished_jobs, "tasks": described}
        for name, described in jobs.items()
    }
