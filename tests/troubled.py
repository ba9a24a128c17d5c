"""`python -m tests.troubled SETTINGS` runs a scheduler with troubles on demand.

SIGUSR1 holds its loop up for HOLD_S. TROUBLED_PART in the environment names a part
whose method fails when the process is told to stop, as `greeting.greet`.
"""

import functools
import operator
import os
import signal
import time

from twisted.internet import reactor

from thornport.cell import daemon
from thornport.platform import __main__ as program

HOLD_S = 1.2
PART_VARIABLE = "TROUBLED_PART"


def fail(*_):
    """Stand in for a method that fails."""
    raise OSError("no such part")


def break_part(scheduler):
    """Have the method that the environment names fail from now on."""
    if PART_VARIABLE in os.environ:
        path, name = os.environ[PART_VARIABLE].rsplit(".", 1)
        setattr(operator.attrgetter(path)(scheduler), name, fail)


def wrap(stop):
    """Make a method `stop` that breaks a part first."""

    @functools.wraps(stop)
    def stop_broken(self, *arguments):
        break_part(self)
        return stop(self, *arguments)

    return stop_broken


if __name__ == "__main__":
    daemon.SchedulerDaemon.stop = wrap(daemon.SchedulerDaemon.stop)
    signal.signal(signal.SIGUSR1, lambda *_: reactor.callFromThread(time.sleep, HOLD_S))
    program.main()
