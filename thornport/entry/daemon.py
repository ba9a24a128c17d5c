"""The entry process: joins the slices, sockets and timers of one entry."""

import treq
from returns import result
from twisted.internet import defer
from twisted.web import client as webclient

from thornport.entry import callers, thin
from thornport.fleet import vmlist
from thornport.kernel import logs, metrics, tasks
from thornport.settings import inforce, watcher
from thornport.store import client as storeclient


class Entry:
    """One entry process."""

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
        self._http = treq.client.HTTPClient(webclient.Agent(reactor))
        self._in_force = inforce.InForce()
        self._front = thin.ThinFront(reactor, self._in_force, self._metrics)

    def start(self):
        """Open the sockets and start the periodic work."""
        listen = self._settings.listen
        app = callers.make_app(self._front)
        bound = callers.listen(self._reactor, app, listen.ip, listen.http_port)
        logs.log("listening", http=f"{listen.ip}:{bound.getHost().port}")
        watching = watcher.watch_head(self._reactor, self._store, self._take_settings)
        tasks.spawn(watching, "watch-settings")
        tasks.spawn(self._read_vms(), "read-vms")
        period_s = self._settings.platform.vms_period_s
        tasks.call_periodically(
            self._reactor, period_s, lambda: self._start_reading(), "read-vms"
        )

    def stop(self):
        """Stop.

        Returns:
          A Deferred that fires when nothing is in flight.
        """
        return defer.succeed(None)

    def _start_reading(self):
        return tasks.spawn(self._read_vms(), "read-vms")

    def _take_settings(self, data):
        if self._in_force.offer(data):
            logs.log("settings-in-force", revision=self._in_force.revision)

    async def _read_vms(self):
        platform = self._settings.platform
        read = await vmlist.read_list(
            self._http, platform.vms, platform.store_timeout_s
        )
        if isinstance(read, result.Failure):
            logs.log("vms-unavailable", reason=read.failure().reason)
            return
        backends = vmlist.select_role(read.unwrap(), vmlist.Role.BACKEND)
        self._front.listed_by_address = backends
