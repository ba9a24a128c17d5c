"""The placer process: connects a Placer to workers, the store and operators."""

import klein
import msgspec
import treq
from returns import result
from twisted.internet import defer
from twisted.web import client as webclient
from twisted.web import server

from thornport.fleet import vmlist
from thornport.kernel import clock, codec, ids, logs, metrics, tasks
from thornport.membership import guard, node, relay
from thornport.peers import bus
from thornport.placement import model, placer, views, workers
from thornport.settings import inforce
from thornport.store import client as storeclient
from thornport.store import port

RING_NAME = "placer"
JOBS_PREFIX = "thornport/jobs/"
FIRST_PLACER_KEY = "thornport/placed"
REPORT_PERIOD_S = 0.5
RETRY_STORE_S = 0.5
CODEC = codec.Codec(guard.Beat | guard.Ack | relay.Want | relay.Have)


class JobRecord(msgspec.Struct, frozen=True):
    """The persisted record of a job."""

    state: str


class PlacerDaemon:
    """One placer process."""

    def __init__(self, reactor, settings):
        """Create the components without opening sockets.

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
        self._workers = workers.WorkerClient(
            reactor, self._http, placer.COMMAND_TIMEOUT_S
        )
        self._in_force = inforce.InForce()
        self._bus = bus.Bus(reactor, CODEC, self._metrics)
        self._node = node.Node(
            reactor, settings, self._store, self._bus, self._in_force, RING_NAME
        )
        self._addresses = []
        self._reset_placer()

    def _reset_placer(self):
        """Replace the placer by an empty one.

        Another placer may decide in the meantime, which makes the old state stale.
        """
        self._placer = placer.Placer(ids.make_incarnation())
        self._jobs_known = False
        self._may_place_at = None

    def start(self):
        """Open the sockets and start the periodic tasks."""
        listen = self._settings.listen
        site = server.Site(self._make_app().resource())
        bound = self._reactor.listenTCP(listen.http_port, site, interface=listen.ip)
        self._bus.bind(listen.ip, listen.peer_port, listen.peer_address)
        http = f"{listen.ip}:{bound.getHost().port}"
        self._node.start(http)
        self._bus.start(self._bus.member_id, self._take_message)
        logs.log("listening", http=http, peer=self._bus.address)
        for period_s, action, what in (
            (self._settings.platform.vms_period_s, self._read_vms, "read-vms"),
            (REPORT_PERIOD_S, self._read_reports, "read-reports"),
            (placer.RENEW_PERIOD_S, self._renew, "renew"),
        ):
            tasks.call_periodically(self._reactor, period_s, action, what)
        self._read_vms()

    def stop(self, ordered_at):
        """Leave the ring; runs continue under their leases until a placer adopts them.

        Args:
          ordered_at: A float, when the order came; leaving takes no set time.
        Returns:
          A Deferred that fires when done.
        """
        return tasks.spawn(self._node.leave(), "leave")

    def _take_message(self, sender_id, address, message):
        if isinstance(message, guard.Beat):
            self._node.take_beat(sender_id, address, message)
        elif isinstance(message, guard.Ack):
            self._node.take_ack(sender_id, address, message)
        elif isinstance(message, relay.Want):
            self._node.take_want(sender_id, address, message)
        else:
            self._node.take_have(message)

    def _is_deciding(self, now):
        """Tell whether this process is the placer that decides.

        That is the member that joined first, as long as it is a member for certain. A
        process that stops deciding drops its state, so that it always starts empty.
        """
        members = self._node.ring.members
        oldest = min(members, key=lambda m: m.joined_epoch, default=None)
        me = self._node.guard.me.member_id
        decides = bool(oldest) and oldest.member_id == me and self._node.may_act(now)
        if not decides and self._may_place_at is not None:
            logs.log("stop-deciding")
            self._reset_placer()
        return decides

    def _make_app(self):
        app = klein.Klein()

        @app.route("/v1/jobs", methods=["GET"])
        def list_jobs(request):
            request.setHeader("Content-Type", "application/json")
            return msgspec.json.encode(views.view_jobs(self._placer))

        return app

    def _read_vms(self):
        return tasks.spawn(self._update_vms(), "read-vms")

    async def _update_vms(self):
        url = self._settings.platform.vms
        read = await vmlist.read_list(
            self._reactor, self._http, url, placer.COMMAND_TIMEOUT_S
        )
        if isinstance(read, result.Failure):
            logs.log("vms-unavailable", reason=read.failure().reason)
            return
        self._node.take_vms(vmlist.list_vms(read.unwrap()))
        listed = vmlist.select_role(read.unwrap(), vmlist.Role.WORKER)
        self._addresses = sorted(listed)

    async def _start_deciding(self):
        """Read which jobs have finished, and set when placing may start."""
        read = await self._store.list_prefix(JOBS_PREFIX)
        if isinstance(read, result.Failure):
            return
        names = (key.removeprefix(JOBS_PREFIX) for key in read.unwrap())
        self._placer.finished_jobs.update(names)
        value = self._node.guard.me.member_id.encode()
        claimed = await port.resolve_write(
            self._store, FIRST_PLACER_KEY, value, port.ABSENT_INDEX
        )
        is_first_placer = isinstance(claimed, result.Success)
        if not is_first_placer and not port.is_failure(claimed, port.Conflict):
            return
        # Commands of an earlier placer may still be on their way, unless this one is
        # the first that ever decided.
        wait_s = 0.0 if is_first_placer else placer.TAKEOVER_WAIT_S
        self._may_place_at = clock.read_monotonic() + wait_s
        self._jobs_known = True
        logs.log("begin-deciding", wait_s=wait_s)

    async def _read_reports(self):
        if not self._is_deciding(clock.read_monotonic()):
            return
        if not self._jobs_known:
            await self._start_deciding()
        if not self._jobs_known:
            return
        self._placer.take_config(self._in_force.config)
        pending = [
            tasks.spawn(self._read_report(address), "read-report")
            for address in self._addresses
        ]
        await defer.gatherResults(pending)
        now = clock.read_monotonic()
        if not self._is_deciding(now):
            return
        self._placer.end_lapsed_runs(now)
        if now >= self._may_place_at:
            self._carry_out(self._placer.place(now))

    async def _read_report(self, address):
        polled_placer = self._placer
        read = await self._workers.read_report(address)
        now = clock.read_monotonic()
        if isinstance(read, result.Failure) or polled_placer is not self._placer:
            return
        if self._is_deciding(now):
            self._carry_out(self._placer.take_report(address, read.unwrap(), now))

    def _renew(self):
        now = clock.read_monotonic()
        if self._is_deciding(now) and self._jobs_known:
            self._carry_out(self._placer.renew(now))

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
            await tasks.sleep(self._reactor, RETRY_STORE_S)
