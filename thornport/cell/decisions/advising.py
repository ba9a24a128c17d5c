"""Which of our processes calls for which advice.

The advice service works on one call at a time for each caller, so a call of
half a second holds up all later calls of the same caller. Calls that take
long go to some of the processes, the short ones to the others. Where long calls wait
for which there is room, the others help while more than half of them are idle: after a
loss of power all steps ask at once, and short calls leave most of those processes idle.
A call is given to a process only when it can make it soon: what waits here goes to
whoever is free first, and the foremost step first.

A process whose calls fail is always free first, so it would draw most calls. It is left
out for a while that doubles with each further failure, unless most others are too; then
it gets what the others have no time for.
"""

import math

import msgspec

from thornport.kernel import clock

MAX_ASKED_WORKERS = 100  # named in one call at most, by the users' interface
LONG_CALL_S = 0.15  # calls that take longer are long ones, for some processes only
# A process gets its next call so long before it is free: a round and the way there.
QUEUE_S = 0.02
SILENCE_S = 1.6  # three greetings missed: the process gets no calls
# Processes that stay idle where others help with long calls: one alone would often be
# at a usual call when an urgent one comes.
LEAST_IDLE = 2
FAILURE_BACKOFF_S = 0.4  # after a first failed call
# After an outage of the service, the process that is back first is alone for as long.
MAX_BACKOFF_S = 3.0
MAX_DOUBLINGS = 8  # of the backoff; it has reached its bound by then
ANSWER_SLACK_S = 0.5  # beyond the time that a call takes, for the way and a busy node
# Stops and starts go on for this long after the last sign of one: VMs are told to stop
# half a second after one another, and a process is there again within some seconds.
CHANGE_WINDOW_S = 5.0
# Lists of the processes are made anew so often at the most, and at once when a greeting
# says something new; who falls silent is noticed after SILENCE_S anyway.
LISTS_MAX_AGE_S = 0.05


class Caller(msgspec.Struct, eq=False):
    """A process that can call for advice.

    Attributes:
      address: A str, where it takes messages.
      heard_at: A float, when it last greeted.
      has_store: Whether the store answers it.
      cores: A float, how much processor its VM has.
      is_stopping: Whether it was told to stop.
      started_at: A float, when it was started; minus infinity if it did not say.
      hall: A str, its data hall; empty if it did not say.
      busy_until: A float, when it has made all calls given to it.
      open_count: An int, calls given to it that have no answer yet.
      failures: An int, calls that failed since one was answered.
      left_out_until: A float; before, others get calls, if there are any.
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


class GivenCall(msgspec.Struct, frozen=True):
    """A call that a process is given.

    Attributes:
      caller: The Caller.
      deadline: A float, when its answer is given up.
    """

    caller: Caller
    deadline: float


class PeerLists(msgspec.Struct, frozen=True):
    """What each process is told of the others.

    Attributes:
      version: An int that rises with each change of the rest.
      with_store, others: Addresses of those that the store answers, and does not.
      largest_cores: A float, the most processor that a VM among them has.
      stopping: Addresses of those that were told to stop.
    """

    version: int
    with_store: tuple[str, ...] = ()
    others: tuple[str, ...] = ()
    largest_cores: float = 0.0
    stopping: tuple[str, ...] = ()


class Callers:
    """The processes that can call, by name."""

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
        """Take a greeting.

        Args:
          name, address: A str each.
          has_store: A bool, whether the store answers the process.
          cores: A float, how much processor its VM has.
          now: A float.
          is_stopping: A bool, whether the process was told to stop.
          up_s: A float, how long ago it was started.
          hall: A str, its data hall; empty if it did not say.
        Returns:
          A bool, whether this is the first word that it stops.
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
        """Give no calls to a process until it greets again.

        Args:
          name: A str.
        """
        self._by_name.pop(name, None)
        self._lists_until = -math.inf

    def list_peers(self, now):
        """List the processes for one another.

        Each greets twice a second and is told of all others, so what lists for each
        greeting cost the owner would grow with the square of the processes.

        Args:
          now: A float.
        Returns:
          A PeerLists, as of LISTS_S ago at the most.
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
        """The most processor that a VM of a process that could decide has, a float."""
        cores = (c.cores for c in self.list_staying(now) if c.has_store)
        return max(cores, default=0.0)

    def has_recent_stop(self, now):
        """Whether a process was told to stop lately, so that more may be."""
        return now - self._stop_heard_at < CHANGE_WINDOW_S

    def is_changing(self, now):
        """Whether processes are being stopped or started, a bool."""
        started_at = max(
            (caller.started_at for caller in self._list_alive(now)), default=-math.inf
        )
        return self.has_recent_stop(now) or now - started_at < CHANGE_WINDOW_S

    def _list_alive(self, now):
        return [c for c in self._by_name.values() if now - c.heard_at < SILENCE_S]

    def list_staying(self, now):
        """List the processes that are well and were not told to stop.

        Args:
          now: A float.
        Returns:
          A list of Caller.
        """
        return [caller for caller in self._list_alive(now) if not caller.is_stopping]

    def list_stopping(self, now):
        """The addresses of processes that were told to stop, a list of str."""
        return [c.address for c in self._list_alive(now) if c.is_stopping]

    def list_addresses(self, has_store, now):
        """The addresses of processes that are well and were not told to stop.

        Those that stop are listed while there is no other: they relay until they end.

        Args:
          has_store: A bool, of those that the store answers or of the others.
          now: A float.
        Returns:
          A list of str.
        """
        alike = [c for c in self._list_alive(now) if c.has_store is has_store]
        staying = [caller for caller in alike if not caller.is_stopping]
        return [caller.address for caller in staying or alike]

    def choose(self, cost_s, now, may_help=True):
        """Choose the process for a call and give it the call.

        Args:
          cost_s: A float, how long the call takes.
          now: A float.
          may_help: Whether a process for short calls may make a long one.
        Returns:
          A GivenCall, or None when no process can make it soon.
        """
        # In a series of stops nobody who stays may be left for some seconds; a process
        # that stops works on until the end of its grace.
        fit = self.list_staying(now) or self._list_alive(now)
        fit = sorted(fit, key=lambda caller: caller.name)
        trusted = [caller for caller in fit if caller.left_out_until <= now]
        is_long = cost_s >= LONG_CALL_S
        caller = find_free(choose_group(trusted, is_long), now)
        if caller is None and is_long and may_help:
            caller = find_long_call_helper(trusted[count_long(trusted) :], now)
        if caller is None and 2 * len(trusted) < len(fit):
            # Calls of most fail: it may be the service, or the way to it.
            left_out = [caller for caller in fit if caller.left_out_until > now]
            caller = find_free(choose_group(left_out, is_long), now)
        if caller is None:
            return None
        caller.busy_until = max(caller.busy_until, now) + cost_s
        caller.open_count += 1
        return GivenCall(caller, caller.busy_until + ANSWER_SLACK_S)

    def end_call(self, name, now, is_answered=True):
        """Take that a call has its answer, has failed, or is given up.

        Args:
          name: A str, of the process that made it.
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
            # Bounded before the power: no float holds one that is very large.
            doublings = min(caller.failures - 1, MAX_DOUBLINGS)
            backoff_s = min(MAX_BACKOFF_S, FAILURE_BACKOFF_S * 2**doublings)
            caller.left_out_until = now + backoff_s
        if not caller.open_count:
            return
        caller.open_count -= 1
        if not caller.open_count:
            caller.busy_until = min(caller.busy_until, now)

    def suspend_caller(self, name, now):
        """Give no calls for a while to a process whose answer did not come.

        Args:
          name: A str.
          now: A float.
        """
        caller = self._by_name.get(name)
        if caller is not None:
            until = now + SILENCE_S
            caller.left_out_until = max(caller.left_out_until, until)


def count_long(alike):
    """Count the processes that make long calls, of a list of Caller."""
    return (len(alike) + 1) // 2


def choose_group(alike, is_long):
    """Choose the processes that make calls of a kind.

    Args:
      alike: A list of Caller.
      is_long: Whether for long calls, or for short ones.
    Returns:
      A list of them; of a single one, the same for both.
    """
    count = count_long(alike)
    return alike[:count] if is_long else alike[count:] or alike


def find_free(group, now):
    """Find the process that is free first.

    Args:
      group: A list of Caller.
      now: A float.
    Returns:
      A Caller, or None when none of them can make a call soon.
    """
    caller = min(group, key=lambda caller: caller.busy_until, default=None)
    if caller is None or caller.busy_until - now > QUEUE_S:
        return None
    return caller


def find_long_call_helper(group, now):
    """Find a process of those for short calls that may make a long one.

    Enough of them are idle besides it, so that calls of urgent steps wait for none.

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
    """Compute how long a call for advice takes.

    Args:
      advice: A queue.Advice.
      workers: A list of the workers that it is about.
    Returns:
      A float, seconds.
    """
    return (advice.base_ms + advice.worker_ms * len(workers)) / clock.MS_PER_S
