"""Losses of workers: for how long their runs went on, and how often workers are lost.

A task is to blame for a loss only if chance does not explain it. Chance is judged by
the losses at which no task of its step was present, over the last seconds and at the
moment of the loss: workers of a rack that loses power, or that restart together, are
lost at the same moment.
"""

import msgspec

from thornport.cell.decisions import messages, model
from thornport.kernel import clock

# A run started within this window before a crash is a suspect.
SUSPECT_WINDOW_S = 0.4
RATE_WINDOW_S = 30.0  # window over which the rate of losses is estimated
# The estimated rate assumes one loss within this much worker time before any was seen.
PRIOR_WORKER_TIME_S = 8.0
# Workers that are lost within this time of one another may have one cause.
MOMENT_S = 1.0
# A rack has lost its power if at least this many of its workers, and half of them, are
# lost at one moment.
MIN_OUTAGE_WORKERS = 3


class Loss(msgspec.Struct, frozen=True):
    """An end of a worker's incarnation, or a silence, that nothing announced.

    Attributes:
      at: A float, when the first call to the worker failed.
      rack: A str; empty if it is not known.
      suspect_steps: The messages.StepKeys of tasks that had started there within the
        suspect window.
      present_steps: The messages.StepKeys of all tasks that may have begun there.
    """

    worker_id: str
    at: float
    rack: str
    suspect_steps: frozenset[messages.StepKey]
    present_steps: frozenset[messages.StepKey]


class HostLosses(msgspec.Struct, frozen=True):
    """The incarnations of workers that were lost on one host.

    Attributes:
      at: A float, when the last one was lost.
      count: An int, how many were, each within RATE_WINDOW_S of the one before.
    """

    at: float
    count: int


class RunTime(msgspec.Struct, frozen=True):
    """Bounds on how long a run went on before its worker was gone.

    Attributes:
      min_s: A float; 0 if this owner has never heard of the run.
      max_s: A float; None if neither this owner nor the record knows its start.
    """

    min_s: float
    max_s: float | None


def bound_run_time(worker, run, now):
    """Bound how long a run went on at a worker that is gone.

    Args:
      worker: A model.Worker.
      run: A model.Run.
      now: A float.
    Returns:
      A RunTime.
    """
    if run.known_since is None:
        min_s = 0.0
    else:
        # The loss of a worker that merely stops answering is detected late.
        there_until = worker.silent_since if worker.is_broken_off else worker.heard_at
        min_s = max(0.0, there_until - run.known_since)
    if run.known_since is None and run.silent_after_ms is not None:
        # The owner that started it saw its worker fall silent.
        return RunTime(min_s, run.silent_after_ms / clock.MS_PER_S)
    start = find_start(run)
    max_s = None if start is None else max(0.0, find_lost_at(worker, now) - start)
    return RunTime(min_s, max_s)


def find_start(run):
    """Find the earliest time at which a run may have begun, a float or None."""
    return run.decided_at if run.commanded_at is None else run.commanded_at


def find_lost_at(worker, now):
    """Find the earliest known time at which a worker was gone.

    Args:
      worker: A model.Worker.
      now: A float.
    Returns:
      A float, when the first call to it failed.
    """
    return now if worker.silent_since is None else worker.silent_since


def make_loss(worker, now):
    """Make the Loss of a worker whose incarnation has ended, or that is silent.

    Args:
      worker: A model.Worker.
      now: A float.
    Returns:
      A Loss.
    """
    begun = list_begun(worker)
    suspect_steps = frozenset(
        run.step_key
        for run in begun
        if is_within(bound_run_time(worker, run, now).max_s, SUSPECT_WINDOW_S)
    )
    present_steps = frozenset(run.step_key for run in begun)
    lost_at = find_lost_at(worker, now)
    return Loss(
        worker.worker_id, lost_at, worker.entry.rack, suspect_steps, present_steps
    )


def list_begun(worker):
    """List the Runs whose start may have been sent to their worker."""
    runs = worker.runs_by_key.values()
    return [run for run in runs if run.state is not model.RunState.RECORDING]


def is_within(ran_s, limit_s):
    """Whether a run is known to have lasted no longer than a limit."""
    return ran_s is not None and ran_s <= limit_s


class LossRates:
    """Estimates how often workers are lost, from recent losses."""

    __slots__ = ("_losses", "_worker_time_s")

    def __init__(self, losses, workers, since, now):
        """Count the recent losses and the worker time in which they happened.

        Args:
          losses: A collection of Loss.
          workers: An int, how many workers there are.
          since: A float, when this owner began to observe them.
          now: A float.
        """
        begin = max(since, now - RATE_WINDOW_S)
        self._losses = [loss for loss in losses if loss.at >= begin]
        self._worker_time_s = PRIOR_WORKER_TIME_S + workers * (now - begin)

    def estimate_unexplained(self):
        """Estimate the rate of losses that no task has caused.

        Returns:
          A float, losses of a worker per second.
        """
        # A loss with a single suspect step may have been caused by it.
        return self._estimate(len(loss.suspect_steps) != 1 for loss in self._losses)

    def estimate_elsewhere(self, step_key):
        """Estimate the rate of losses at which no task of a step was present.

        If the step causes losses, counting these would make each seem to be chance.

        Args:
          step_key: A messages.StepKey.
        Returns:
          A float, losses of a worker per second.
        """
        return self._estimate(
            step_key not in loss.present_steps for loss in self._losses
        )

    def _estimate(self, counted):
        return (1 + sum(counted)) / self._worker_time_s


class Moment:
    """The other workers that are lost at the moment of one loss."""

    __slots__ = ("_in_cell", "_in_rack")

    def __init__(self, loss, losses, rack_by_worker):
        """Find the losses at the same moment.

        Args:
          loss: A Loss.
          losses: A collection of Loss, of this and of other workers.
          rack_by_worker: The racks of all workers, strs by worker id.
        """
        others_by_id = {
            other.worker_id: other
            for other in losses
            if other.worker_id != loss.worker_id and abs(other.at - loss.at) <= MOMENT_S
        }
        # Pairs of the losses and the ids of the workers there; None without any.
        self._in_cell = self._in_rack = None
        if not others_by_id:
            return
        others = list(others_by_id.values())
        worker_ids = rack_by_worker.keys() - {loss.worker_id}
        self._in_cell = (others, worker_ids)
        if not loss.rack:
            return
        in_rack = [other for other in others if other.rack == loss.rack]
        rack_ids = {
            worker_id
            for worker_id in worker_ids
            if rack_by_worker[worker_id] == loss.rack
        }
        if len(in_rack) + 1 >= max(MIN_OUTAGE_WORKERS, (len(rack_ids) + 1) / 2):
            self._in_rack = (in_rack, rack_ids)

    def estimate_elsewhere(self, step_key, present_ids):
        """Estimate the rate of losses at this moment, elsewhere than at a step.

        Args:
          step_key: A messages.StepKey.
          present_ids: A frozenset of the ids of the workers at which tasks of the step
            are.
        Returns:
          A float, losses of a worker per second, in the cell or in the rack, whichever
          is higher; 0 if no other worker is lost.
        """
        return max(
            self._estimate(step_key, present_ids, *scope) if scope else 0.0
            for scope in (self._in_cell, self._in_rack)
        )

    def _estimate(self, step_key, present_ids, losses, worker_ids):
        elsewhere = sum(step_key not in loss.present_steps for loss in losses)
        exposed = len(worker_ids) - len(present_ids & worker_ids)
        # At least one of each is assumed, so that a step with tasks nearly everywhere
        # is not blamed because there is no worker to compare with.
        share = max(1, elsewhere) / max(1, elsewhere, exposed)
        return share / (2 * MOMENT_S)
