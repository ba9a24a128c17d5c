"""`python -m thornport.platform` runs a scheduler on the users' platform."""

import os
import signal
import sys

from thornport.kernel import lean

if __name__ == "__main__":
    # The settings are not read yet, and `main` takes the signal before it reads them.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
lean.leave_out_tls()

import msgspec  # noqa: E402
from twisted.internet import reactor  # noqa: E402

from thornport.cell import daemon, ports, settings, web  # noqa: E402
from thornport.cell.peers import peering  # noqa: E402
from thornport.kernel import (  # noqa: E402
    daemons,
    draining,
    httpcalls,
    logs,
    metrics,
    metricsweb,
)
from thornport.peers import bus  # noqa: E402
from thornport.platform import (  # noqa: E402
    advice,
    config,
    entries,
    ingress,
    store,
    workers,
)
from thornport.store import health  # noqa: E402

SETTINGS_VARIABLE = "THORNPORT_SETTINGS"
STORE_TIMEOUT_S = 0.6  # long enough for a slow store
COMMAND_TIMEOUT_S = 0.25  # for a worker's answer to a start or stop command


def make_ports(calls, process_settings, counters):
    """Make the clients of the platform's services.

    Args:
      calls: An httpcalls.HttpCalls.
      process_settings: A settings.SchedulerSettings.
      counters: A metrics.Metrics.
    Returns:
      A ports.Ports.
    """
    services = process_settings.services
    client = store.StoreClient(calls, services.store, STORE_TIMEOUT_S, counters)
    checked = health.CheckedStore(client)
    client.on_late = checked.note_late_answer
    return ports.Ports(
        checked,
        workers.WorkerClient(calls, COMMAND_TIMEOUT_S),
        advice.AdviceClient(calls, services.advice),
        config.CONFIG_KEY,
        config.decode_config,
        entries.ENTRY_PREFIX,
        entries.decode_entry,
        (msgspec.MsgspecError, ValueError, entries.EntryError),
    )


def listen(address, app, open_requests):
    """Serve an app.

    Args:
      address: A str, `IP:PORT`; port 0 lets the kernel choose.
      app: A klein.Klein.
      open_requests: A draining.OpenRequests.
    Returns:
      A str, the address that was bound.
    """
    ip, port = address.rsplit(":", 1)
    site = draining.DrainingSite(app.resource(), open_requests)
    bound = reactor.listenTCP(int(port), site, interface=ip, backlog=1024)
    open_requests.ports.append(bound)
    return f"{ip}:{bound.getHost().port}"


def reload(path, scheduler):
    """Apply changed bounds; addresses are bound only at process start.

    Args:
      path: A str.
      scheduler: A daemon.SchedulerDaemon; None before it is made.
    """
    try:
        changed = daemons.load(path, settings.parse_settings)
        if scheduler is not None:
            scheduler.take_bounds(changed.platform_bounds)
        logs.log(
            "settings-reloaded",
            path=path,
            max_hold_ms=changed.platform_bounds.max_hold_ms,
        )
    except daemons.SettingsError as error:
        logs.log("settings-not-reloaded", path=path, reason=str(error))


def reload_on_hup(path, scheduler):
    """Reload the settings at each SIGHUP from now on; the arguments are `reload`'s."""
    signal.signal(
        signal.SIGHUP,
        lambda *_: reactor.callFromThread(reload, path, scheduler),
    )


def main():
    """Run the scheduler process."""
    path = os.environ.get(SETTINGS_VARIABLE) or sys.argv[1]
    reload_on_hup(path, None)
    process_settings = daemons.load_or_exit(path, settings.parse_settings)
    logs.start_logging(
        logs.NonBlockingStream(sys.stdout.fileno()),
        process=process_settings.process.name,
    )
    counters = metrics.Metrics()
    calls = httpcalls.HttpCalls(reactor)
    message_bus = bus.Bus(reactor, peering.CODEC, counters)
    scheduler = daemon.SchedulerDaemon(
        reactor,
        process_settings,
        make_ports(calls, process_settings, counters),
        message_bus,
        counters,
    )
    reload_on_hup(path, scheduler)
    listening = process_settings.listen
    open_requests = scheduler.serving.open_requests
    bound = {
        "http": listen(listening.jobs, ingress.make_app(scheduler), open_requests),
        "ready": listen(
            listening.ready, ingress.make_ready_app(scheduler), open_requests
        ),
    }
    if listening.metrics_port is not None:
        metrics_address = f"{listening.ip}:{listening.metrics_port}"
        internal = metricsweb.make_app(counters)
        web.add_routes(internal, scheduler)
        bound["metrics"] = listen(metrics_address, internal, open_requests)
    reactor.callWhenRunning(scheduler.start)
    reactor.callWhenRunning(lambda: logs.log("listening", **bound))
    suspended = scheduler.lag.read_suspended_s
    reactor.callWhenRunning(daemons.stop_on_term, reactor, scheduler, suspended)
    reactor.run()
    daemons.end_process()


if __name__ == "__main__":
    main()
