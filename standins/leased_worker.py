"""A stand-in for a worker that runs tasks under one lease, pure: time comes in.

It keeps the platform's rules: it follows the highest fencing token it has
seen, kills everything when its lease is over, bars a run that was stopped
before it came, and lists each end until it is told that the end was seen, but
not too many at once.
What it counts (tasks running twice is for the caller to see) is `over_room`.

A task that fills disturbs the tasks that serve beside it, by the share it works at.
"""

import msgspec

from standins import gangs
from thornport.cell.decisions import messages
from thornport.jobs import spec

MAX_HOLD_MS = 6000  # the longest lease, unless a worker is told another
MAX_LISTED_ENDS = 500  # in one answer, the oldest ones
FULL_PERCENT = 100  # the pace of a task at its start
CALM_TAIL_PERCENT = 40  # of its target: the tail of a serving task that none disturbs
# Of its target: the tail that a task that fills adds where it works at its full pace.
DISTURBANCE_PERCENT = 1000


class Active(msgspec.Struct):
    """A run that is live here; its times are on this worker's clock.

    Attributes:
      run_ms: An int, how long it works.
      gang: The gangs.GangRun that it is a member of, or None.
      fills: A bool, whether it disturbs tasks that serve.
      target_ms: An int, the target of its tail if it serves; 0 if it does not.
      pace: An int, the percentage that it works at.
      paced_at_ms: An int, when its pace was last set; None if it never was.
      done_ms: A float, how much of its work was done by then.
    """

    key: messages.TaskKey
    run: int
    demand: spec.Demand
    began_at_ms: int
    ends_at_ms: int
    fails: bool
    run_ms: int = 0
    gang: gangs.GangRun | None = None
    fills: bool = False
    target_ms: int = 0
    pace: int = FULL_PERCENT
    paced_at_ms: int | None = None
    done_ms: float = 0.0

    def set_pace(self, percent, clock_ms):
        """Work at a percentage of the full pace from now on."""
        self.done_ms = self._read_done_ms(clock_ms)
        self.pace, self.paced_at_ms = percent, clock_ms
        if self.gang is None:
            left_ms = self.run_ms - self.done_ms
            self.ends_at_ms = (
                clock_ms + int(left_ms * FULL_PERCENT / percent)
                if percent
                else gangs.NEVER_MS
            )

    def _read_done_ms(self, clock_ms):
        """How much of its work is done, a float."""
        since_ms = self.began_at_ms if self.paced_at_ms is None else self.paced_at_ms
        return self.done_ms + (clock_ms - since_ms) * self.pace / FULL_PERCENT

    def read_percent(self, clock_ms):
        """Its progress, an int."""
        if self.paced_at_ms is not None and self.gang is None:
            done_ms = self._read_done_ms(clock_ms)
            return min(99, int(100 * done_ms / max(1, self.run_ms)))
        whole_ms = max(1, self.ends_at_ms - self.began_at_ms)
        return min(99, 100 * (clock_ms - self.began_at_ms) // whole_ms)


class NotedEnd(msgspec.Struct, frozen=True):
    """An end as done that the worker was told is seen, while its lease held.

    Attributes:
      ended_at: A float.
    """

    key: messages.TaskKey
    ended_at: float


class LeasedWorker:
    """One life of a worker.

    Attributes:
      started_at_ms: An int that tells the lives under one id apart; None if it does not
        say.
      started: Triples of TaskKey, run and time, each start that was done.
      over_room: An int, starts that took it past its room.
      noted_done: TaskKeys of ends `done` that it was told are seen.
      noted_failed: TaskKeys of ends `failed`, likewise, one for each.
      lapsed: TaskKeys of runs that ended with the lease.
      failed: Pairs of TaskKey and run, of runs that ended as failed.
      hung_at_ms: An int of its clock from when all its tasks stand still; None
        when they do not.
      disturbance_percent: An int, of its target: the tail that a task that fills adds
        to that of a serving one where it works at its full pace.
    """

    def __init__(
        self,
        worker_id,
        total,
        clock_rate=1.0,
        started_at_ms=None,
        began_at=0.0,
        max_hold_ms=MAX_HOLD_MS,
    ):
        """Begin.

        Args:
          worker_id: A str.
          total: A spec.Demand.
          clock_rate: A float, how fast its clock runs.
          started_at_ms: An int, or None.
          began_at: A float, when its clock began.
          max_hold_ms: An int, the longest lease that it grants.
        """
        self.worker_id = worker_id
        self.total = total
        self.started_at_ms = started_at_ms
        self._rate = clock_rate
        self._began_at = began_at
        self._max_hold_ms = max_hold_ms
        self._token = 0
        self._deadline_ms = 0
        self._barred_by_key = {}
        self._now = 0.0
        self._ended_at_by_number = {}
        self._newly_noted = []
        self._number = 0
        self.active_by_key = {}
        self.ended = []
        self.started = []
        self.over_room = 0
        self.noted_done = set()
        self.noted_failed = []
        self.lapsed = []
        self.failed = []
        self.hung_at_ms = None
        self.disturbance_percent = DISTURBANCE_PERCENT

    def read_clock_ms(self, now):
        """The worker's clock at a time in seconds."""
        return int((now - self._began_at) * 1000 * self._rate)

    def advance(self, now):
        """Let runs end that are due, and kill all when the lease is over."""
        self._now = now
        clock_ms = self.read_clock_ms(now)
        for active in sorted(self.active_by_key.values(), key=lambda a: a.ends_at_ms):
            has_ended = self.active_by_key.get(active.key) is not active
            if not has_ended and active.ends_at_ms <= min(
                self._read_work_ms(clock_ms), self._deadline_ms
            ):
                kind = messages.EndKind.FAILED if active.fails else None
                self.end(active, kind or messages.EndKind.DONE)
                self._end_gang(active, kind or messages.EndKind.DONE)
        if clock_ms >= self._deadline_ms:
            for active in list(self.active_by_key.values()):
                self.end(active, messages.EndKind.LAPSED)
            # Ends of which nobody was told by then count for nothing any more.
            self._ended_at_by_number.clear()

    def _end_gang(self, ended, kind):
        """End the members of a gang that are here with one that has ended."""
        for other in list(self.active_by_key.values()):
            if other.gang is not None and other.gang == ended.gang:
                self.end(other, gangs.choose_end(kind))

    def hang(self, now):
        """Let all tasks stand still from now on."""
        self.hung_at_ms = self.read_clock_ms(now)

    def _read_work_ms(self, clock_ms):
        """The clock by which tasks make progress."""
        return clock_ms if self.hung_at_ms is None else self.hung_at_ms

    def end(self, active, kind):
        """End a run.

        Args:
          active: The Active.
          kind: A messages.EndKind.
        """
        del self.active_by_key[active.key]
        self._bar(active.key, active.run)
        self._number += 1
        if kind is messages.EndKind.LAPSED:
            self.lapsed.append(active.key)
        if kind is messages.EndKind.FAILED:
            self.failed.append((active.key, active.run))
        row = messages.EndRow(self._number, active.key, active.run, kind, "")
        self.ended.append(row)
        self._ended_at_by_number[row.number] = self._now

    def _bar(self, key, run):
        self._barred_by_key[key] = max(run, self._barred_by_key.get(key, 0))

    def _grant(self, deadline_ms, clock_ms):
        wanted = min(deadline_ms, clock_ms + self._max_hold_ms)
        self._deadline_ms = max(self._deadline_ms, wanted)

    def _is_fenced(self, token):
        if token < self._token:
            return True
        self._token = token
        return False

    def take_noted(self):
        """Take the NotedEnds since the last call, a list."""
        taken, self._newly_noted = self._newly_noted, []
        return taken

    def start(
        self, order, demand, run_ms, fails, now, gang_size=0, fills=False, target_ms=0
    ):
        """Carry out a start.

        Args:
          order: A messages.StartOrder.
          demand: The spec.Demand of the task.
          run_ms: An int, how long it runs.
          fails: A bool, whether it ends as failed.
          now: A float.
          gang_size: An int, how many members the gang of the task has; 0 for no gang.
          fills: A bool, as Active's.
          target_ms: An int, likewise.
        Returns:
          A messages.Done or Rejected.
        """
        self.advance(now)
        clock_ms = self.read_clock_ms(now)
        if order.worker_id != self.worker_id:
            return messages.Rejected(messages.Rejection.REPLACED)
        if self._is_fenced(order.token):
            return messages.Rejected(messages.Rejection.FENCED)
        if order.deadline_ms <= clock_ms:
            return messages.Rejected(messages.Rejection.LATE)
        self._grant(order.deadline_ms, clock_ms)
        active = self.active_by_key.get(order.key)
        if active is not None and active.run == order.run:
            return messages.Done(clock_ms)
        if order.run <= self._barred_by_key.get(order.key, 0) or active is not None:
            return messages.Rejected(messages.Rejection.OLD)
        gang = gangs.make_run(order, gang_size)
        self.active_by_key[order.key] = Active(
            order.key,
            order.run,
            demand,
            clock_ms,
            clock_ms + run_ms if gang is None else gangs.NEVER_MS,
            fails,
            run_ms,
            gang,
            fills,
            target_ms,
        )
        self.started.append((order.key, order.run, now))
        used = spec.Demand()
        for active in self.active_by_key.values():
            used = used.add(active.demand)
        self.over_room += not used.fits(self.total)
        return messages.Done(clock_ms)

    def refuse(self, order, now):
        """Refuse a start for its ticket; its deadline counts all the same.

        Args:
          order: A messages.StartOrder.
          now: A float.
        """
        self.advance(now)
        if order.worker_id == self.worker_id and not self._is_fenced(order.token):
            self._grant(order.deadline_ms, self.read_clock_ms(now))

    def stop(self, order, now):
        """Carry out a stop; returns a messages.Done or Rejected."""
        self.advance(now)
        if order.worker_id != self.worker_id:
            return messages.Rejected(messages.Rejection.REPLACED)
        if self._is_fenced(order.token):
            return messages.Rejected(messages.Rejection.FENCED)
        active = self.active_by_key.get(order.key)
        if active is not None and active.run == order.run:
            self.end(active, messages.EndKind.STOPPED)
        self._bar(order.key, order.run)
        return messages.Done(self.read_clock_ms(now))

    def pace(self, order, now):
        """Carry out a pace command; returns a messages.Done or Rejected."""
        self.advance(now)
        if order.worker_id != self.worker_id:
            return messages.Rejected(messages.Rejection.REPLACED)
        if not 0 <= order.percent <= FULL_PERCENT:
            return messages.Rejected(messages.Rejection.INVALID)
        if self._is_fenced(order.token):
            return messages.Rejected(messages.Rejection.FENCED)
        active = self.active_by_key.get(order.key)
        if active is None or active.run != order.run:
            return messages.Rejected(messages.Rejection.UNKNOWN_RUN)
        clock_ms = self.read_clock_ms(now)
        active.set_pace(order.percent, clock_ms)
        return messages.Done(clock_ms)

    def read_load(self, active):
        """The load that a worker reports of a run.

        Args:
          active: An Active.
        Returns:
          An int: the tail of a task that serves in milliseconds, the millicores that
          any other has in use.
        """
        if not active.target_ms:
            return active.demand.millicores * active.pace // FULL_PERCENT
        filling = sum(one.pace for one in self.active_by_key.values() if one.fills)
        added = self.disturbance_percent * filling // FULL_PERCENT
        return active.target_ms * (CALM_TAIL_PERCENT + added) // 100

    def hold(self, request, now):
        """Carry out a look; returns a messages.HoldAnswer or Rejected."""
        self.advance(now)
        clock_ms = self.read_clock_ms(now)
        if request.worker_id != self.worker_id:
            return messages.Rejected(messages.Rejection.REPLACED)
        if self._is_fenced(request.token):
            return messages.Rejected(messages.Rejection.FENCED)
        if request.deadline_ms:
            self._grant(request.deadline_ms, clock_ms)
        for row in self.ended:
            if row.number > request.last_seen:
                continue
            ended_at = self._ended_at_by_number.pop(row.number, None)
            if row.kind is messages.EndKind.DONE:
                self.noted_done.add(row.key)
                if ended_at is not None:
                    self._newly_noted.append(NotedEnd(row.key, ended_at))
            elif row.kind is messages.EndKind.FAILED:
                self.noted_failed.append(row.key)
        self.ended = [row for row in self.ended if row.number > request.last_seen]
        running = [
            messages.RunningRow(
                active.key,
                active.run,
                "",
                max(0, active.read_percent(self._read_work_ms(clock_ms))),
                self.read_load(active),
            )
            for active in self.active_by_key.values()
        ]
        return messages.HoldAnswer(
            clock_ms, running, self.ended[:MAX_LISTED_ENDS], self.started_at_ms
        )
