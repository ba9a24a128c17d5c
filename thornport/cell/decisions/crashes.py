"""Which tasks the crash of a worker is put down to: pure.

A task may crash each worker that starts it. Whose crash it was is known only from
which runs were there when the worker's life ended, so each crash is evidence: two
points against what had just begun there, alone of its kind, where workers are seldom
lost; one against what else it may have been; none where it may as well have come by
chance. At five points a task is given up, with its job: after three crashes in a calm
cell, after five where workers come and go. The users allow five, and each takes a
worker away for some seconds with all that runs there.

A task with points starts where least would be lost, and nothing else starts beside it
until it has gone on for a while, so that a further crash tells more.

Not to be given up beside it: a task that is only near, and one whose workers lose power
with their rack, leave as they said, serve for long before they end, or restart by the
dozen.
"""

import math

import msgspec

from thornport.cell.decisions import messages, model, notes

# A worker is gone some hundredths of a second after the start that crashes it, which is
# noticed at once where its port refuses, else when a call to it has timed out.
YOUNG_S = 0.4
# What an earlier owner started, or what was at a worker that fell silent, may have run
# for so long.
FRESH_S = 2.0
# Of a crash against the one step that had just begun there, and against what else it
# may have been.
ALONE_POINTS = 2
POINTS = 1
# What may have begun just before five crashes has five points at least.
GIVE_UP_POINTS = 5
# A worker is lost so soon by chance so rarely that a crash nearly proves it of what was
# there; or rarely enough to say something.
RARE_CHANCE = 0.01
LOW_CHANCE = 0.1
# Losses of workers are counted for so long; before any was seen, one is assumed in so
# many seconds of a worker.
RATE_S = 30.0
ASSUMED_RATE_S = 10.0
# Workers of a rack that are lost together have lost their power: at least so many, and
# half of the rack, within this time of one another.
OUTAGE_WORKERS = 3
OUTAGE_S = 1.0
# Or such a part of all workers, whatever their racks: three of 24 at once are seldom
# chance.
OUTAGE_SHARE = 0.125
# A task with points that has run for so long seems not to crash its worker this time,
# and the others of its step follow.
PROVEN_S = 0.5
# Suspect tasks of a step that are tried at once at most: a crash may cost as many
# workers. So few are through one by one in the time that users give a task that lasts.
MOST_TRIALS = 8
FEW_TRIALS = 4
# Of a step that has stood still for long, further tasks are tried beside so many whose
# trial is undecided: that of a silent worker is until its lease is over.
MOST_UNDECIDED = 2
# Workers that are lost under several of them so soon are lost by no outage.
WATCHED_S = 10.0


class Loss(msgspec.Struct, frozen=True):
    """A life of a worker that ended without having said so.

    Attributes:
      at: A float, when its first call failed.
      rack: A str; empty if it is not known.
      young: The messages.StepKeys of which tasks had begun there a moment before, or
        were on trial with others of their step.
    """

    worker_id: str
    at: float
    rack: str
    young: frozenset[messages.StepKey]


class Blame(msgspec.Struct, frozen=True):
    """What a crash says against the task of a run.

    Attributes:
      run: A model.Run that was lost with the worker.
      points: An int; 0 where it says nothing.
    """

    run: model.Run
    points: int


class RunTime(msgspec.Struct, frozen=True):
    """How long a run went on before its worker was gone, as far as is known.

    Attributes:
      least_s: A float; None where this owner neither started it nor heard of it.
      most_s: A float; None likewise.
    """

    least_s: float | None
    most_s: float | None


def compute_ran_s(worker, run, now):
    """Compute how long a run went on at most at a worker that is gone.

    Args:
      worker: A model.Worker.
      run: A model.Run.
      now: A float.
    Returns:
      A float, seconds; None when this owner neither started it nor heard of it.
    """
    if run.known_since is None:
        return None
    return max(0.0, find_lost_at(worker, now) - run.known_since)


def compute_least_ran_s(worker, run):
    """Compute how long a run surely went on at a worker that is gone.

    The end of a worker that merely stops answering is noticed late, by a time-out.

    Args:
      worker: A model.Worker.
      run: A model.Run.
    Returns:
      A float, seconds; None as from `compute_ran_s`.
    """
    if run.known_since is None:
        return None
    there_until = worker.silent_since if worker.is_broken_off else worker.heard_at
    return max(0.0, there_until - run.known_since)


def find_lost_at(worker, now):
    """Say since when a worker has been gone, as far as is known.

    Args:
      worker: A model.Worker.
      now: A float.
    Returns:
      A float, when the first call to it failed.
    """
    return now if worker.silent_since is None else worker.silent_since


def note_loss(worker, now):
    """Note that the life of a worker has ended.

    Args:
      worker: A model.Worker.
      now: A float.
    Returns:
      A Loss.
    """
    young = frozenset(
        run.step_key
        for run in list_begun(worker)
        if is_young(worker, run, now) or is_in_joint_trial(worker, run, now)
    )
    lost_at = find_lost_at(worker, now)
    return Loss(worker.worker_id, lost_at, worker.entry.rack, young)


def is_crash(worker, how):
    """Tell whether a worker's life ended unforeseen.

    Args:
      worker: A model.Worker.
      how: A notes.WorkerEnd.
    Returns:
      A bool; false for one that was draining by its own entry.
    """
    is_draining = worker.entry.state is messages.WorkerState.DRAINING
    # A worker that is known from records alone has no entry of its own.
    said_so = is_draining and worker.revision > 0
    return how is not notes.WorkerEnd.LEFT and not said_so


def is_outage(loss, losses, rack_size, cell_size):
    """Tell whether workers seem to have been lost together, by no task of theirs.

    A rack that has lost its power, or many workers of any racks that restart at once. A
    step whose tasks crash several workers at once is no outage.

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
        if other.worker_id != loss.worker_id and abs(other.at - loss.at) <= OUTAGE_S
    ]
    within = [other for other in together if loss.rack and other.rack == loss.rack]
    return is_lost_together(loss, within, rack_size / 2) or is_lost_together(
        loss, together, cell_size * OUTAGE_SHARE
    )


def is_lost_together(loss, others, least):
    """Tell whether so many were lost with a worker that no task is to blame.

    Args:
      loss: A Loss.
      others: Losses of the same moment, a list.
      least: A float, how many there are at least, with it.
    Returns:
      A bool.
    """
    if any(loss.young & other.young for other in others):
        return False
    count = len({other.worker_id for other in others}) + 1
    return count >= max(OUTAGE_WORKERS, least)


def estimate_rate(losses, workers, since, now):
    """Estimate how often a worker is lost that no task of its own has crashed.

    Args:
      losses: A collection of Loss.
      workers: An int, how many there are.
      since: A float, when this owner began to watch them.
      now: A float.
    Returns:
      A float, losses of one worker in a second.
    """
    begin = max(since, now - RATE_S)
    # Where just one step had begun a moment before, that may have been the cause.
    befell = sum(loss.at >= begin and len(loss.young) != 1 for loss in losses)
    return (1 + befell) / (ASSUMED_RATE_S + workers * (now - begin))


def judge_crash(worker, how, rate, now):
    """Say what a crash tells against each run at a worker.

    Args:
      worker: A model.Worker, lost with its runs.
      how: A notes.WorkerEnd.
      rate: A float, from `estimate_rate`.
      now: A float.
    Returns:
      A list of Blame, one for each run that may have begun.
    """
    begun = list_begun(worker)
    # That a silent worker crashed is not certain, nor when.
    is_timed = how is not notes.WorkerEnd.LAPSED
    young_steps = {
        run.step_key for run in begun if is_timed and is_young(worker, run, now)
    }
    blames = []
    for run in begun:
        ran = RunTime(compute_least_ran_s(worker, run), compute_ran_s(worker, run, now))
        points = count_points(run, ran, young_steps, is_timed, rate)
        blames.append(Blame(run, points))
    return blames


def judge_outage(worker, now):
    """Say what an outage tells against each run at a worker.

    Little, and that only against what had begun a moment before, as far as is known:
    several tasks that crash three workers in a second look like an outage each time.

    Args:
      worker: A model.Worker, lost with its runs.
      now: A float.
    Returns:
      A list of Blame, one for each run that may have begun.
    """
    return [
        Blame(run, POINTS if may_be_young(worker, run, now) else 0)
        for run in list_begun(worker)
    ]


def may_be_young(worker, run, now):
    """Whether a run had begun a moment before, or an earlier owner started it."""
    return run.known_since is None or is_young(worker, run, now)


def is_young(worker, run, now):
    """Tell whether a run had begun a moment before its worker was gone."""
    return is_within(compute_ran_s(worker, run, now), YOUNG_S)


def is_in_joint_trial(worker, run, now):
    """Tell whether a run was there on trial, others of its step elsewhere.

    Several that crash their workers at once would look like an outage each time, and
    be tried for ever.
    """
    return run.is_joint_trial and is_within(compute_ran_s(worker, run, now), WATCHED_S)


def count_points(run, ran, young_steps, is_timed, rate):
    """Count the points that a crash gives the task of a run.

    Args:
      run: A model.Run.
      ran: Its RunTime.
      young_steps: A set of the messages.StepKeys that had begun a moment before.
      is_timed: A bool, whether it is known when the worker was gone.
      rate: A float, from `estimate_rate`.
    Returns:
      An int.
    """
    if is_timed and is_within(ran.most_s, YOUNG_S):
        # Of one that was not answered it is not known that it began.
        is_answered = run.state is not model.RunState.ORDERED
        is_alone = is_answered and young_steps == {run.step_key}
        is_rare = compute_chance(YOUNG_S, rate) <= RARE_CHANCE
        return ALONE_POINTS if is_alone and is_rare else POINTS
    if ran.most_s is None:
        return POINTS
    if ran.least_s <= YOUNG_S and ran.most_s <= FRESH_S:
        # It may have begun a moment before.
        return POINTS
    if young_steps or run.step.lasting:
        # A lasting task sees workers crash in the course of time.
        return 0
    return POINTS if compute_chance(ran.most_s, rate) <= LOW_CHANCE else 0


def compute_chance(within_s, rate):
    """Compute how likely a worker is lost within a time by chance.

    Args:
      within_s: A float.
      rate: A float, from `estimate_rate`.
    Returns:
      A float, from 0 to 1.
    """
    return -math.expm1(-rate * within_s)


def is_within(ran_s, limit_s):
    """Whether a run is known to have lasted a limit at most."""
    return ran_s is not None and ran_s <= limit_s


def list_begun(worker):
    """List the Runs at a worker that it may have been told to start."""
    runs = worker.runs_by_key.values()
    return [run for run in runs if run.state is not model.RunState.RECORDING]


def list_startable(step, workers_by_id, now, is_overdue=False):
    """List the waiting tasks of a step that may start now.

    Tasks of a step are alike. Where one may have crashed its worker, it goes first and
    by itself, so that a step of a hundred costs one more worker and not a hundred. Of
    many against which no more is said than that they were there, as many follow as
    have gone on: tried one by one, those of one worker wait for longer than users allow
    a task that lasts. One that was there twice goes by itself. A gang works only whole.

    Args:
      step: A model.StepState.
      workers_by_id: Model.Workers by id.
      now: A float.
      is_overdue: Whether the step has stood still for long.
    Returns:
      A sorted list of task indexes.
    """
    waiting = sorted(step.waiting)
    points_by_index = step.crash_points_by_index
    if not points_by_index or step.spec.gang:
        return waiting
    tried = [
        run for index, run in step.live_by_index.items() if index in points_by_index
    ]
    undecided = [run for run in tried if not is_proven(run, workers_by_id, now)]
    most_undecided = MOST_UNDECIDED if is_overdue else 0
    if len(undecided) > most_undecided:
        return []
    suspects = [index for index in waiting if index in points_by_index]
    if not suspects:
        return waiting
    first = max(suspects, key=points_by_index.get)
    if points_by_index[first] > POINTS or len(suspects) <= FEW_TRIALS:
        return [first]
    proven = len(tried) + len(step.done & points_by_index.keys())
    return suspects[: min(MOST_TRIALS, max(1, proven))]


def may_be_tried(step, worker, now):
    """Tell whether a task of a step that may crash a worker may start at it.

    Of many steps against which no more is said than that they were there, as many
    follow as have gone on at the worker, as within a step.

    Args:
      step: A model.StepState with crash points.
      worker: A model.Worker.
      now: A float.
    Returns:
      A bool.
    """
    by_id = {worker.worker_id: worker}
    tried = [run for run in worker.runs_by_key.values() if run.trial_points]
    undecided = [run for run in tried if not is_proven(run, by_id, now)]
    if not undecided:
        return True
    points = max(step.crash_points_by_index.values())
    points = max(points, *(run.trial_points for run in undecided))
    proven = len(tried) - len(undecided)
    return points <= POINTS and len(undecided) < min(MOST_TRIALS, proven)


def is_on_trial(worker_id, workers_by_id, now):
    """Tell whether a task that may crash a worker has just been sent there.

    Args:
      worker_id: A str.
      workers_by_id: Model.Workers by id.
      now: A float.
    Returns:
      A bool.
    """
    worker = workers_by_id.get(worker_id)
    run = worker and worker.trial
    if run is None or worker.runs_by_key.get(run.key) is not run:
        return False
    return not is_proven(run, workers_by_id, now)


def is_proven(run, workers_by_id, now):
    """Tell whether a run has gone on for a while at a worker that answers.

    Args:
      run: A model.Run.
      workers_by_id: Model.Workers by id.
      now: A float.
    Returns:
      A bool.
    """
    worker = workers_by_id.get(run.worker_id)
    if worker is None or worker.silent_since is not None or run.known_since is None:
        return False
    return now - run.known_since >= PROVEN_S
