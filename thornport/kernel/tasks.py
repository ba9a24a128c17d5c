"""Runs coroutines and periodic work in the reactor and logs their errors."""

import traceback

from twisted.internet import defer, task
from twisted.python import failure

from thornport.kernel import logs

# At about 0.05 ms an item, a part takes 25 ms, well below the shortest heartbeat.
PART_ITEMS = 500


def spawn(coroutine, what):
    """Run a coroutine to its end and log what it raises.

    Args:
      coroutine: A coroutine.
      what: A str for the log.
    Returns:
      A Deferred that never fails.
    """
    running = defer.ensureDeferred(coroutine)
    running.addErrback(log_failure, what)
    return running


def attempt(action, what):
    """Call an action and log what it raises, so that the steps after it are taken.

    Args:
      action: A callable of no arguments.
      what: A str for the log.
    """
    try:
        action()
    except Exception:
        log_failure(failure.Failure(), what)


def log_failure(failed, what):
    """Log a failure that nobody else handles.

    Args:
      failed: A twisted Failure.
      what: A str, the name of the work that failed.
    """
    if failed.check(defer.CancelledError):
        return
    trace = "".join(traceback.format_tb(failed.getTracebackObject())[-3:])
    logs.log("task-failed", task=what, error=repr(failed.value), trace=trace)


def call_periodically(reactor, period_s, action, what):
    """Call an action periodically; its errors are logged and do not end the loop.

    Args:
      reactor: Twisted's reactor.
      period_s: A float, seconds.
      action: A callable of no arguments; a Deferred that it returns is awaited.
      what: A str for the log.
    Returns:
      The LoopingCall, which the caller can stop.
    """

    def act():
        return defer.maybeDeferred(action).addErrback(log_failure, what)

    loop = task.LoopingCall(act)
    loop.clock = reactor
    loop.start(period_s, now=False)
    return loop


async def wait_timed(reactor, waiting, seconds, end_wait):
    """Wait for a Deferred, with a timer that ends the wait.

    Args:
      reactor: Twisted's reactor.
      waiting: A Deferred.
      seconds: A float, until the timer fires.
      end_wait: A callable of no arguments that fires or cancels the Deferred.
    Returns:
      The result of the Deferred.
    """
    timer = reactor.callLater(seconds, end_wait)
    try:
        return await waiting
    finally:
        if timer.active():
            timer.cancel()


async def act_in_parts(reactor, items, act):
    """Process a long list in parts, yielding to the reactor after each.

    Args:
      reactor: Twisted's reactor.
      items: A list.
      act: A callable of a part of the list, called for each part in order.
    """
    for start in range(0, len(items), PART_ITEMS):
        act(items[start : start + PART_ITEMS])
        await sleep(reactor, 0)


def sleep(reactor, seconds):
    """Wait for a time.

    Args:
      reactor: Twisted's reactor.
      seconds: A float.
    Returns:
      A Deferred that fires after that time.
    """
    return task.deferLater(reactor, seconds)
