"""The evidence that tasks of a step crash the workers that start them.

Only proof counts for giving a task up: another incarnation answered in place of the
worker. A worker that is merely silent may be cut off, frozen or behind an outage, so
its loss is unproven until the worker answers again, or another incarnation does at its
address or under its id.
"""

import msgspec

from thornport.cell.decisions import messages

# A task is given up once so many points are proven: users allow five crashes.
GIVE_UP_POINTS = 5
# So many proven points are two crashes at least, for which users allow a job to be
# given up; what is unproven counts beside them.
MIN_PROVEN_POINTS = 3
# A silent worker that nobody has answered for by then is gone for good.
UNPROVEN_S = 300.0


class UnprovenLoss(msgspec.Struct, eq=False):
    """The loss of a silent worker that may or may not have crashed.

    Attributes:
      worker_id: A str.
      started_at_ms: An int, the start of its incarnation; None if it does not state it.
      address: A str.
      expires_at: A float, until when an answer may settle it.
      tasks: The messages.TaskKeys that a crash would give a point.
    """

    worker_id: str
    started_at_ms: int | None
    address: str
    expires_at: float
    tasks: list[messages.TaskKey] = msgspec.field(default_factory=list)

    def is_crash(self, worker_id, started_at_ms):
        """Whether an answer at its address or under its id proves that it crashed.

        Args:
          worker_id: A str, of the worker that answered.
          started_at_ms: An int, the start of its incarnation; None if not stated.
        Returns:
          A bool; false if the incarnation that was silent has answered.
        """
        if worker_id != self.worker_id:
            return True
        is_stated = started_at_ms is not None and self.started_at_ms is not None
        return is_stated and started_at_ms != self.started_at_ms


class UnprovenLosses:
    """The unproven losses of a cell, by worker id and by address."""

    __slots__ = ("_by_address", "_by_worker")

    def __init__(self):
        """Begin without losses."""
        self._by_worker = {}
        self._by_address = {}

    def add(self, worker_id, started_at_ms, address, now):
        """Find or add the loss of a worker.

        Args:
          worker_id, started_at_ms, address: As for UnprovenLoss.
          now: A float.
        Returns:
          An UnprovenLoss.
        """
        losses = self._by_worker.setdefault(worker_id, [])
        for loss in losses:
            if loss.started_at_ms == started_at_ms:
                return loss
        loss = UnprovenLoss(worker_id, started_at_ms, address, now + UNPROVEN_S)
        losses.append(loss)
        if address:
            self._by_address.setdefault(address, []).append(loss)
        return loss

    def take_answered(self, worker_id, address):
        """Take the losses that an answer of a worker settles.

        Args:
          worker_id, address: Strs, of the worker that answered.
        Returns:
          A list of UnprovenLoss.
        """
        if not self._by_worker:
            return []
        found = [*self._by_worker.get(worker_id, ())]
        found += [
            loss
            for loss in self._by_address.get(address, ())
            if loss.worker_id != worker_id
        ]
        self._remove(found)
        return found

    def take_of_worker(self, worker_id):
        """Take the losses under a worker id, a list of UnprovenLoss."""
        found = [*self._by_worker.get(worker_id, ())]
        self._remove(found)
        return found

    def take_expired(self, now):
        """Take the losses that no answer has settled in time, a list."""
        found = [
            loss
            for losses in self._by_worker.values()
            for loss in losses
            if now >= loss.expires_at
        ]
        self._remove(found)
        return found

    def _remove(self, losses):
        for loss in losses:
            remove_from(self._by_worker, loss.worker_id, loss)
            if loss.address:
                remove_from(self._by_address, loss.address, loss)


def remove_from(losses_by_key, key, loss):
    """Remove a loss from the list under a key, and the list once it is empty."""
    losses_by_key[key].remove(loss)
    if not losses_by_key[key]:
        del losses_by_key[key]


class Evidence(msgspec.Struct, eq=False):
    """The evidence against the tasks of one step, by task index, also in a gang.

    Attributes:
      points_by_index: Points of proven crashes; see `crashes`.
      unproven_by_index: Lists of UnprovenLoss, of a point each if they are crashes.
      doubted: Indexes of tasks that may have crashed a worker by all that this owner
        knows, which is too little to count.
      lost_hosts_by_index: Sets of the hosts of workers that were lost under a task;
        see model.Worker.
      suspicion_by_index: Points that decide on trials: the proven ones and the
        unproven ones, at least one of a doubted task. No entry for other tasks.
    """

    points_by_index: dict[int, int] = msgspec.field(default_factory=dict)
    unproven_by_index: dict[int, list[UnprovenLoss]] = msgspec.field(
        default_factory=dict
    )
    doubted: set[int] = msgspec.field(default_factory=set)
    lost_hosts_by_index: dict[int, set[str]] = msgspec.field(default_factory=dict)
    suspicion_by_index: dict[int, int] = msgspec.field(default_factory=dict)

    def add_points(self, index, points):
        """Add points, an int, of a proven crash."""
        self.points_by_index[index] = self.points_by_index.get(index, 0) + points
        self._update(index)

    def add_unproven(self, index, loss):
        """Add an UnprovenLoss."""
        self.unproven_by_index.setdefault(index, []).append(loss)
        self._update(index)

    def doubt(self, index):
        """Have a task tried before others of its step, without points."""
        self.doubted.add(index)
        self._update(index)

    def settle(self, index, loss, points):
        """Replace an unproven loss by the points that it has turned out to give.

        Args:
          index: An int.
          loss: An UnprovenLoss.
          points: An int; 0 if it was no crash.
        Returns:
          A bool; false if the loss is not held against the task.
        """
        if loss not in self.unproven_by_index.get(index, ()):
            return False
        remove_from(self.unproven_by_index, index, loss)
        if points:
            self.add_points(index, points)
        self._update(index)
        return True

    def has_to_end(self, index):
        """Whether a task is to be given up, as enough is proven against it."""
        proven = self.points_by_index.get(index, 0)
        return proven >= MIN_PROVEN_POINTS and not self.may_start(index)

    def may_start(self, index):
        """Whether a task need not wait for what is unproven against it."""
        return self.suspicion_by_index.get(index, 0) < GIVE_UP_POINTS

    def _update(self, index):
        points = self.points_by_index.get(index, 0)
        points += len(self.unproven_by_index.get(index, ()))
        points = max(points, index in self.doubted)
        if points:
            self.suspicion_by_index[index] = points
        else:
            self.suspicion_by_index.pop(index, None)
