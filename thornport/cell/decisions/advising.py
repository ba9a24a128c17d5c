"""Assigns calls for advice to the processes that make them.

The advice service handles one call at a time per caller, so a call of half a second
blocks all later calls of the same caller. Half of the processes therefore make the long
calls and the others the short ones. While long calls wait for steps that have room,
processes of the short half help as long as more than half of them stay idle: after a
loss of power all steps ask at once, and short calls leave most of that half idle.
A process is assigned a call only when it can make it soon. Other calls wait, and the
next free process gets the one that `asking` orders first.

A process whose calls fail is always free first and would attract most calls. It is
excluded for a backoff that doubles with each further failure, unless most processes are
excluded; then the excluded ones get the calls that the others have no time for.
"""

import math

import msgspec

from thornport.kernel import clock

MAX_ASKED_WORKERS = 100  # limit of the advice interface for one call
LONG_CALL_S = 0.15  # longer calls go to the processes for long calls
# How long before it is free a process is assigned its next call: covers a scheduling
# pass and the network.
QUEUE_S = 0.02
SILENCE_S = 1.6  # three missed greetings; after that a process gets no calls
# Processes for short calls that stay idle while others help with long calls. A single
# one would often be busy with another short call when an urgent one arrives.
LEAST_IDLE = 2
FAILURE_BACKOFF_S = 0.4  # after a first failed call
# After an outage of the advice service, the first process to recover makes all calls
# for up to this long.
MAX_BACKOFF_S = 3.0
MAX_DOUBLINGS = 8  # the backoff has reached its maximum by then
ANSWER_SLACK_S = 0.5  # beyond the duration of a call, for the network and a busy VM
# A series of stops or starts counts as over this long after the last one: VMs are
# stopped half a second apart, and a process restarts within some seconds.
CHANGE_WINDOW_S = 5.0
# The lists of processes are rebuilt at most this often, or at once when a greeting
# brings a change. A silent process is noticed only after SILENCE_S anyway.
LISTS_MAX_AGE_S = 0.05


class Caller(msgspec.Struct, eq=False):
    """A process that can call for advice.

    Attributes:
      address: A str, where it receives messages.
      heard_at: A float, time of its last greeting.
      has_store: Whether it reaches the store.
      cores: A float, the processor cores of its VM.
      is_stopping: Whether it is shutting down.
      started_at: A float, its start time; minus infinity if not reported.
      hall: A str, its data hall; empty if not reported.
      busy_until: A float, when it will have made all calls assigned to it.
      open_count: An int, calls assigned to it that have no answer yet.
      failures: An int, calls that failed since the last answered one.
      left_out_until: A float, until when other processes are preferred.
    """

    name: str
    address: str
    heard_at: float
    has_store: bool = True
    cores: float = 1.0
    is_stopping: bool = False
    started_at: float = -math.inf
    hall: str = ""
    busy_until: float = 0.0
    open_count: int = 0
    failures: int = 0
    left_out_until: float = -math.inf


class AssignedCall(msgspec.Struct, frozen=True):
    """A call that is assigned to a process.

    Attributes:
      caller: The Caller.
      deadline: A float, when to stop waiting for the answer.
    """

    caller: Caller
    deadline: float


class PeerLists(msgspec.Struct, frozen=True):
    """The lists of processes that are sent to each process.

    Attributes:
      version: An int that increases with each change of the other fields.
      with_store, others: Addresses of the processes that reach the store, and of those
        that do not.
      largest_cores: A float, the most cores of a VM among them.
      stopping: Addresses of the processes that are shutting down.
    """

    version: int
    with_store: tuple[str, ...] = ()
    others: tuple[str, ...] = ()
    largest_cores: float = 0.0
    stopping: tuple[str, ...] = ()


class Callers:
    """The processes that can call for advice, by name."""

    def __init__(self):
        self._by_name = {}
        self._stop_heard_at = -math.inf
        self._lists = PeerLists(0)
        self._lists_until = -math.inf

    def greet(
        self,
        name,
        address,
        has_store,
        cores,
        now,
        is_stopping=False,
        up_s=math.inf,
        hall="",
    ):
        """Record a greeting of a process.

        Args:
          name, address: A str each.
          has_store: A bool, whether the process reaches the store.
          cores: A float, the processor cores of its VM.
          now: A float.
          is_stopping: A bool, whether the process is shutting down.
          up_s: A float, seconds since its start.
          hall: A str, its data hall; empty if not reported.
        Returns:
          A bool, whether this greeting is the first to report that it shuts down.
        """
        caller = self._by_name.get(name)
        is_new = caller is None or caller.address != address
        if is_new:
            caller = self._by_name[name] = Caller(name, address, now)
        is_back = now - caller.heard_at >= SILENCE_S
        known = (caller.has_store, caller.cores, caller.is_stopping)
        if is_new or is_back or known != (has_store, cores, is_stopping):
            self._lists_until = -math.inf
        caller.heard_at = now
        caller.has_store = has_store
        caller.cores = cores
        caller.started_at = now - up_s
        caller.hall = hall
        is_news = is_stopping and not caller.is_stopping
        caller.is_stopping = is_stopping
        if is_stopping:
            self._stop_heard_at = now
        return is_news

    def forget(self, name):
        """Assign no calls to a process until it greets again.

        Args:
          name: A str.
        """
        self._by_name.pop(name, None)
        self._lists_until = -math.inf

    def list_peers(self, now):
        """Return the lists of processes that each of them receives.

        Each process greets twice a second and receives the lists in reply. Building
        them for each greeting would cost the owner time quadratic in the number of
        processes, so they are cached.

        Args:
          now: A float.
        Returns:
          A PeerLists, at most LISTS_MAX_AGE_S old.
        """
        if now < self._lists_until:
            return self._lists
        self._lists_until = now + LISTS_MAX_AGE_S
        version = self._lists.version
        lists = PeerLists(
            version,
            tuple(self.list_addresses(True, now)),
            tuple(self.list_addresses(False, now)),
            self.find_largest_cores(now),
            tuple(self.list_stopping(now)),
        )
        if lists != self._lists:
            self._lists = msgspec.structs.replace(lists, version=version + 1)
        return self._lists

    def find_largest_cores(self, now):
        """Return the most cores of a VM whose process could become owner, a float."""
        cores = (c.cores for c in self.list_staying(now) if c.has_store)
        return max(cores, default=0.0)

    def has_recent_stop(self, now):
        """Whether a process has recently begun to stop, so that more may follow."""
        return now - self._stop_heard_at < CHANGE_WINDOW_S

    def is_changing(self, now):
        """Whether processes have recently been stopping or starting, a bool."""
        started_at = max(
            (caller.started_at for caller in self._list_alive(now)), default=-math.inf
        )
        return self.has_recent_stop(now) or now - started_at < CHANGE_WINDOW_S

    def _list_alive(self, now):
        return [c for c in self._by_name.values() if now - c.heard_at < SILENCE_S]

    def list_staying(self, now):
        """List the live processes that are not shutting down.

        Args:
          now: A float.
        Returns:
          A list of Caller.
        """
        return [caller for caller in self._list_alive(now) if not caller.is_stopping]

    def list_stopping(self, now):
        """List the addresses of live processes that are shutting down, strs."""
        return [c.address for c in self._list_alive(now) if c.is_stopping]

    def list_addresses(self, has_store, now):
        """List the addresses of live processes that are not shutting down.

        If all are shutting down, they are listed: they relay until they exit.

        Args:
          has_store: A bool, whether to list those that reach the store or the others.
          now: A float.
        Returns:
          A list of str.
        """
        alike = [c for c in self._list_alive(now) if c.has_store is has_store]
        staying = [caller for caller in alike if not caller.is_stopping]
        return [caller.address for caller in staying or alike]

    def choose(self, cost_s, now, may_help=True):
        """Choose a process for a call and assign the call to it.

        Args:
          cost_s: A float, the duration of the call.
          now: A float.
          may_help: Whether a process for short calls may make a long one.
        Returns:
          An AssignedCall, or None when no process can make it soon.
        """
        # During a series of stops all processes may be shutting down for some seconds.
        # They go on working until their grace period ends.
        fit = self.list_staying(now) or self._list_alive(now)
        fit = sorted(fit, key=lambda caller: caller.name)
        trusted = [caller for caller in fit if caller.left_out_until <= now]
        is_long = cost_s >= LONG_CALL_S
        caller = find_free(choose_group(trusted, is_long), now)
        if caller is None and is_long and may_help:
            caller = find_long_call_helper(trusted[count_long(trusted) :], now)
        if caller is None and 2 * len(trusted) < len(fit):
            # The calls of most processes fail, so the cause may be the advice service
            # or the network.
            left_out = [caller for caller in fit if caller.left_out_until > now]
            caller = find_free(choose_group(left_out, is_long), now)
        if caller is None:
            return None
        caller.busy_until = max(caller.busy_until, now) + cost_s
        caller.open_count += 1
        return AssignedCall(caller, caller.busy_until + ANSWER_SLACK_S)

    def end_call(self, name, now, is_answered=True):
        """Record that a call was answered, failed or timed out.

        Args:
          name: A str, the process that made it.
          now: A float.
          is_answered: A bool.
        """
        caller = self._by_name.get(name)
        if caller is None:
            return
        if is_answered:
            caller.failures = 0
            caller.left_out_until = -math.inf
        else:
            caller.failures += 1
            # The exponent is bounded because a large power overflows a float.
            doublings = min(caller.failures - 1, MAX_DOUBLINGS)
            backoff_s = min(MAX_BACKOFF_S, FAILURE_BACKOFF_S * 2**doublings)
            caller.left_out_until = now + backoff_s
        if not caller.open_count:
            return
        caller.open_count -= 1
        if not caller.open_count:
            caller.busy_until = min(caller.busy_until, now)

    def suspend_caller(self, name, now):
        """Exclude a process for SILENCE_S after a call of it timed out.

        Args:
          name: A str.
          now: A float.
        """
        caller = self._by_name.get(name)
        if caller is not None:
            until = now + SILENCE_S
            caller.left_out_until = max(caller.left_out_until, until)


def count_long(alike):
    """Count how many of a list of Caller make long calls."""
    return (len(alike) + 1) // 2


def choose_group(alike, is_long):
    """Select the processes that make long calls, or short ones.

    Args:
      alike: A list of Caller.
      is_long: Whether to select those for long calls.
    Returns:
      A list of Caller; a single process makes both kinds.
    """
    count = count_long(alike)
    return alike[:count] if is_long else alike[count:] or alike


def find_free(group, now):
    """Find the process that is free first.

    Args:
      group: A list of Caller.
      now: A float.
    Returns:
      A Caller, or None when none is free within QUEUE_S.
    """
    caller = min(group, key=lambda caller: caller.busy_until, default=None)
    if caller is None or caller.busy_until - now > QUEUE_S:
        return None
    return caller


def find_long_call_helper(group, now):
    """Find a process for short calls that may make a long one.

    Enough others must be idle, so that calls of urgent steps never wait for long ones.

    Args:
      group: A list of Caller.
      now: A float.
    Returns:
      A Caller, or None.
    """
    idle = [caller for caller in group if caller.busy_until <= now]
    least = max(LEAST_IDLE, (len(group) + 1) // 2)
    return idle[0] if len(idle) > least else None


def compute_cost_s(advice, workers):
    """Compute the duration of a call for advice.

    Args:
      advice: A queue.Advice.
      workers: A list of the workers that it names.
    Returns:
      A float, seconds.
    """
    return (advice.base_ms + advice.worker_ms * len(workers)) / clock.MS_PER_S
