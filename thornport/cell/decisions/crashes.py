"""Which tasks the crash of a worker is attributed to: pure.

A task may crash each worker that starts it. The only evidence is which runs were at a
worker when its incarnation ended, so each crash adds points to the tasks that ran
there: two to the only suspect where workers are seldom lost, one where there are other
suspects, none where the loss may be chance. At five points a task is given up with its
job: after three crashes in a calm cell, after five where workers restart often. The
users allow five; each takes a worker with all its runs away for some seconds.

A suspect task starts on trial; see `trials`.

Must not be given up: tasks that merely ran at the same worker, and tasks whose workers
lose power with their rack, leave as announced, crash after serving for long, or restart
in large numbers.
"""

import math

import msgspec

from thornport.cell.decisions import messages, model, notes

# A run started within this window before a crash is a suspect.
SUSPECT_WINDOW_S = 0.4
# The same window where the start time or the time of the crash is not known exactly.
WIDE_SUSPECT_WINDOW_S = 2.0
SOLE_SUSPECT_POINTS = 2
SHARED_SUSPECT_POINTS = 1
# A task that was a suspect in five crashes has at least this many points.
GIVE_UP_POINTS = 5
# A crash is strong evidence if a loss by chance in the suspect window is this unlikely.
RARE_CHANCE = 0.01
# It is some evidence if a loss by chance in the time of the run is this unlikely.
LOW_CHANCE = 0.1
RATE_WINDOW_S = 30.0  # window over which the rate of losses is estimated
# The estimated rate assumes one loss within this much worker time before any was seen.
PRIOR_WORKER_TIME_S = 10.0
# A rack has lost its power if at least this many of its workers, and half of them, are
# lost within this time of one another.
MIN_OUTAGE_WORKERS = 3
OUTAGE_WINDOW_S = 1.0
# The same for this share of all workers, whatever their racks: three of 24 lost at once
# are seldom chance.
OUTAGE_SHARE = 0.125
# A worker that is lost within this time of a joint trial was not lost by an outage.
JOINT_TRIAL_WINDOW_S = 10.0


class Loss(msgspec.Struct, frozen=True):
    """An unannounced end of a worker's incarnation.

    Attributes:
      at: A float, when the first call to the worker failed.
      rack: A str; empty if it is not known.
      suspect_steps: The messages.StepKeys of tasks that had started there within the
        suspect window or were on trial at the same time as others of their step.
      present_steps: The messages.StepKeys of all tasks that may have begun there.
    """

    worker_id: str
    at: float
    rack: str
    suspect_steps: frozenset[messages.StepKey]
    present_steps: frozenset[messages.StepKey]


class Blame(msgspec.Struct, frozen=True):
    """The points that a crash adds to the task of a run.

    Attributes:
      run: A model.Run that was lost with the worker.
      points: An int; 0 where the crash is no evidence against the task.
    """

    run: model.Run
    points: int


class RunTime(msgspec.Struct, frozen=True):
    """Bounds on how long a run went on before its worker was gone.

    Attributes:
      min_s: A float; None where this owner neither started nor heard of the run.
      max_s: A float; None likewise.
    """

    min_s: float | None
    max_s: float | None


def compute_max_run_s(worker, run, now):
    """Compute the maximum time for which a run went on at a worker that is gone.

    Args:
      worker: A model.Worker.
      run: A model.Run.
      now: A float.
    Returns:
      A float, seconds; None when this owner neither started nor heard of the run.
    """
    if run.known_since is None:
        return None
    return max(0.0, find_lost_at(worker, now) - run.known_since)


def compute_min_run_s(worker, run):
    """Compute the minimum time for which a run went on at a worker that is gone.

    The loss of a worker that merely stops answering is detected late, by a timeout.

    Args:
      worker: A model.Worker.
      run: A model.Run.
    Returns:
      A float, seconds; None as from `compute_max_run_s`.
    """
    if run.known_since is None:
        return None
    there_until = worker.silent_since if worker.is_broken_off else worker.heard_at
    return max(0.0, there_until - run.known_since)


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
    """Make the Loss of a worker whose incarnation has ended.

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
        if is_crash_suspect(worker, run, now) or is_in_joint_trial(worker, run, now)
    )
    present_steps = frozenset(run.step_key for run in begun)
    lost_at = find_lost_at(worker, now)
    return Loss(
        worker.worker_id, lost_at, worker.entry.rack, suspect_steps, present_steps
    )


def is_crash(worker, how):
    """Tell whether a worker's incarnation ended unannounced.

    Args:
      worker: A model.Worker.
      how: A notes.WorkerEnd.
    Returns:
      A bool; false for a worker that was draining by its own entry.
    """
    is_draining = worker.entry.state is messages.WorkerState.DRAINING
    # A worker that is known from records alone has no entry of its own.
    was_announced = is_draining and worker.revision > 0
    return how is not notes.WorkerEnd.LEFT and not was_announced


def is_outage(loss, losses, rack_size, cell_size):
    """Tell whether workers were lost together for a cause other than their tasks.

    An outage is a rack that has lost its power, or many workers of any racks that
    restart at once. Workers that tasks of one step crash at once are not an outage.

    Args:
      loss: The Loss of the worker in question.
      losses: Losses of others, a list.
      rack_size: An int, how many workers its rack has.
      cell_size: An int, how many there are in all.
    Returns:
      A bool.
    """
    together = [
        other
        for other in losses
        if other.worker_id != loss.worker_id
        and abs(other.at - loss.at) <= OUTAGE_WINDOW_S
    ]
    within = [other for other in together if loss.rack and other.rack == loss.rack]
    return is_lost_together(loss, within, rack_size / 2) or is_lost_together(
        loss, together, cell_size * OUTAGE_SHARE
    )


def is_lost_together(loss, others, least):
    """Tell whether enough workers were lost with one to rule out its tasks as cause.

    Args:
      loss: A Loss.
      others: Losses at about the same time, a list.
      least: A float, the number of lost workers that is enough, with the one itself.
    Returns:
      A bool.
    """
    if any(loss.suspect_steps & other.suspect_steps for other in others):
        return False
    count = len({other.worker_id for other in others}) + 1
    return count >= max(MIN_OUTAGE_WORKERS, least)


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


def judge_crash(worker, how, rates, now):
    """Judge a crash as evidence against each run at a worker.

    Args:
      worker: A model.Worker, lost with its runs.
      how: A notes.WorkerEnd.
      rates: A LossRates.
      now: A float.
    Returns:
      A list of Blame, one for each run that may have begun.
    """
    begun = list_begun(worker)
    # Whether and when a silent worker crashed is not certain.
    is_timed = how is not notes.WorkerEnd.LAPSED
    suspect_steps = {
        run.step_key for run in begun if is_timed and is_crash_suspect(worker, run, now)
    }
    blames = []
    for run in begun:
        ran = RunTime(
            compute_min_run_s(worker, run), compute_max_run_s(worker, run, now)
        )
        points = count_points(run, ran, suspect_steps, is_timed, rates)
        blames.append(Blame(run, points))
    return blames


def judge_outage(worker, now):
    """Judge an outage as evidence against each run at a worker.

    Only suspects get points, and few: several tasks that crash three workers within a
    second resemble an outage each time.

    Args:
      worker: A model.Worker, lost with its runs.
      now: A float.
    Returns:
      A list of Blame, one for each run that may have begun.
    """
    return [
        Blame(
            run, SHARED_SUSPECT_POINTS if may_be_crash_suspect(worker, run, now) else 0
        )
        for run in list_begun(worker)
    ]


def may_be_crash_suspect(worker, run, now):
    """Whether a run is a suspect, or may be: an earlier owner started it.

    A lasting task that an earlier owner started has mostly run for long.
    """
    is_unknown = run.known_since is None and not run.step.lasting
    return is_unknown or is_crash_suspect(worker, run, now)


def is_crash_suspect(worker, run, now):
    """Tell whether a run started within the suspect window before the crash."""
    return is_within(compute_max_run_s(worker, run, now), SUSPECT_WINDOW_S)


def is_in_joint_trial(worker, run, now):
    """Tell whether a run was on trial at the same time as others of its step.

    Trials that crash their workers at once would count as an outage each time, and
    their tasks would be tried without end.
    """
    return run.is_joint_trial and is_within(
        compute_max_run_s(worker, run, now), JOINT_TRIAL_WINDOW_S
    )


def count_points(run, ran, suspect_steps, is_timed, rates):
    """Count the points that a crash gives the task of a run.

    Args:
      run: A model.Run.
      ran: Its RunTime.
      suspect_steps: A set of the messages.StepKeys with runs that are suspects.
      is_timed: A bool, whether the time at which the worker was gone is known.
      rates: A LossRates.
    Returns:
      An int.
    """
    if is_timed and is_within(ran.max_s, SUSPECT_WINDOW_S):
        # An unacknowledged start may never have begun.
        is_answered = run.state is not model.RunState.ORDERED
        is_alone = is_answered and suspect_steps == {run.step_key}
        chance = compute_chance(SUSPECT_WINDOW_S, rates.estimate_unexplained())
        is_rare = chance <= RARE_CHANCE
        return SOLE_SUSPECT_POINTS if is_alone and is_rare else SHARED_SUSPECT_POINTS
    if ran.max_s is None:
        # A successor knows neither when the run began nor when the worker was gone.
        may_have_run_long = run.step.lasting and not is_timed
        return 0 if may_have_run_long else SHARED_SUSPECT_POINTS
    if ran.min_s <= SUSPECT_WINDOW_S and ran.max_s <= WIDE_SUSPECT_WINDOW_S:
        # It may have started within the suspect window.
        return SHARED_SUSPECT_POINTS
    if run.step.lasting:
        # Any lasting task sees workers crash in the course of time.
        return 0
    chance = compute_chance(ran.max_s, rates.estimate_elsewhere(run.step_key))
    max_chance = RARE_CHANCE if suspect_steps else LOW_CHANCE
    return SHARED_SUSPECT_POINTS if chance <= max_chance else 0


def compute_chance(within_s, rate):
    """Compute the probability that a worker is lost by chance within a time.

    Args:
      within_s: A float.
      rate: A float, losses of a worker per second.
    Returns:
      A float, from 0 to 1.
    """
    return -math.expm1(-rate * within_s)


def is_within(ran_s, limit_s):
    """Whether a run is known to have lasted no longer than a limit."""
    return ran_s is not None and ran_s <= limit_s


def list_begun(worker):
    """List the Runs whose start may have been sent to their worker."""
    runs = worker.runs_by_key.values()
    return [run for run in runs if run.state is not model.RunState.RECORDING]
