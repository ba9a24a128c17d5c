"""Starts and stops the daemons, without importing the command-line packages."""

import os
import pathlib
import signal
import sys

from twisted.internet import defer

from thornport.kernel import clock, logs, problem, procconf, tasks

EXIT_BAD_SETTINGS = 2


class SettingsError(Exception):
    """The settings of a process are unreadable or invalid."""


def load(path, parse_settings):
    """Read the settings of a process.

    Args:
      path: A str.
      parse_settings: A callable of the path and the text of the file.
    Returns:
      What the callable returns.
    Raises:
      SettingsError: With every fault in the file.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
        return parse_settings(path, text)
    except (OSError, problem.ProblemsError) as error:
        raise SettingsError(str(error)) from error


def load_or_exit(path, parse_settings):
    """Read the settings of a process, or print their faults and exit.

    Args:
      path: A str.
      parse_settings: A callable of the path and the text of the file.
    Returns:
      What the callable returns.
    """
    try:
        return load(path, parse_settings)
    except SettingsError as error:
        print(error, file=sys.stderr)
        raise SystemExit(EXIT_BAD_SETTINGS) from error


def run(make_daemon, path):
    """Run a daemon until SIGTERM or SIGINT.

    Args:
      make_daemon: A callable of a reactor and settings that returns an object with
        `start()`, and `stop(ordered_at)` returning a Deferred.
      path: A str, the settings file of the process.
    """
    settings = load_or_exit(path, procconf.parse_settings)
    # The reactor is imported late, so that invalid settings are reported at once.
    from twisted.internet import reactor

    logs.start_logging(process=settings.process.name)
    daemon = make_daemon(reactor, settings)
    reactor.callWhenRunning(daemon.start)
    reactor.callWhenRunning(stop_on_term, reactor, daemon)
    reactor.run()


def end_process():
    """Exit at once, without the shutdown of the interpreter.

    At this point all answers are written and durable records are in the store. Closing
    some hundred sockets to other processes and freeing all modules took more than the
    0.3 s that a process has left on a VM of half a core, so it was killed.
    """
    for stream in (sys.stdout, sys.stderr):
        stream.flush()
    os._exit(0)


class PlannedStop:
    """The order to stop a process: the first signal counts, further ones are logged."""

    def __init__(self, reactor, daemon, read_suspended_s):
        """Create an order that was not given yet.

        Args:
          reactor: Twisted's reactor.
          daemon: An object with `stop(ordered_at)`, returning a Deferred.
          read_suspended_s: A callable giving for how many seconds this process may not
            have run until now.
        """
        self._reactor = reactor
        self._daemon = daemon
        self._read_suspended_s = read_suspended_s
        self._is_given = False

    def take_signal(self, number, _):
        """Take a signal, as a handler of `signal.signal`.

        The handler also runs within a long step, after which the loop takes the order.
        A process that does not run takes the signal late: it may have arrived at any
        time since then.
        """
        ordered_at = clock.read_monotonic() - self._read_suspended_s()
        self._reactor.callFromThread(self._take, number, ordered_at)

    def _take(self, number, at):
        if self._is_given:
            # The grace period began with the first signal and does not begin again.
            logs.log("stop-repeated", signal=signal.Signals(number).name)
            return
        self._is_given = True
        stopping = defer.maybeDeferred(self._daemon.stop, at)
        stopping.addErrback(tasks.log_failure, "stop")
        stopping.addBoth(lambda _: self._reactor.stop())


def stop_on_term(reactor, daemon, read_suspended_s=lambda: 0.0):
    """Handle SIGTERM and SIGINT: finish the work in flight, then stop the reactor.

    Args:
      reactor: Twisted's reactor.
      daemon: An object with `stop(ordered_at)`.
      read_suspended_s: A callable giving for how many seconds this process may not have
        run until now; without one the order counts from when its signal is handled.
    """
    planned = PlannedStop(reactor, daemon, read_suspended_s)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, planned.take_signal)
