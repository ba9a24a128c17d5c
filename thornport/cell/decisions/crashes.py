"""Which tasks the crash of a worker is attributed to: pure.

A task may crash each worker that starts it. The only evidence is which runs were at a
worker when its incarnation ended, so each crash adds points to the tasks that ran
there: two to the only suspect where workers are seldom lost, one where there are other
suspects, none where the loss may be chance. Once enough points are proven a task is
given up with its job (see `evidence`): after three crashes in a calm cell, after five
where workers restart often. Each crash takes a worker with all its runs away for some
seconds.

A suspect task starts on trial; see `trials`.

Must not be given up: tasks that merely ran at the same worker, and tasks whose workers
fall silent, lose power with their rack, leave as announced, crash after serving for
long, or restart in large numbers.
"""

import math

import msgspec

from thornport.cell.decisions import losses, messages, model, notes

# The suspect window where the start time or the time of the crash is not known exactly:
# a poll of an idle worker waits for 2 s, and then times out.
WIDE_SUSPECT_WINDOW_S = 2.5
# The same for a run that only an earlier owner heard of: a takeover takes seconds.
UNHEARD_SUSPECT_WINDOW_S = 4.0
SOLE_SUSPECT_POINTS = 2
SHARED_SUSPECT_POINTS = 1
# A crash is strong evidence if a loss by chance in the suspect window is this unlikely.
RARE_CHANCE = 0.01
# It is some evidence if a loss by chance in the time of the run is this unlikely.
LOW_CHANCE = 0.1


class Blame(msgspec.Struct, frozen=True):
    """What the loss of a worker says against the task of a run.

    Attributes:
      run: A model.Run that was lost with the worker.
      ran: Its losses.RunTime.
      points: An int, the points if the worker crashed; 0 if that is no evidence.
      is_doubted: Whether the task may have crashed the worker by all that this owner
        knows, though it gets no points.
    """

    run: model.Run
    ran: losses.RunTime
    points: int = 0
    is_doubted: bool = False


class Chances(msgspec.Struct, frozen=True):
    """How likely the loss of a worker is by other causes than a step.

    Attributes:
      rates: A losses.LossRates.
      moment: A losses.Moment; None if nothing is known of other losses just then.
      present_ids_by_step: Sets of ids of the workers at which tasks of a step are, by
        messages.StepKey.
    """

    rates: losses.LossRates
    moment: losses.Moment | None = None
    present_ids_by_step: dict[messages.StepKey, frozenset[str]] = {}

    def compute_strict(self, step_key, within_s):
        """Compute the chance of a loss that no task explains within a time."""
        return self._compute(step_key, within_s, self.rates.estimate_unexplained())

    def compute(self, step_key, within_s):
        """Compute the chance of a loss within a time, by losses elsewhere.

        Args:
          step_key: A messages.StepKey.
          within_s: A float.
        Returns:
          A float, from 0 to 1.
        """
        rate = self.rates.estimate_elsewhere(step_key)
        return self._compute(step_key, within_s, rate)

    def _compute(self, step_key, within_s, rate):
        if self.moment is not None:
            present_ids = self.present_ids_by_step.get(step_key, frozenset())
            rate = max(rate, self.moment.estimate_elsewhere(step_key, present_ids))
        return -math.expm1(-rate * within_s)


def is_crash(worker, how):
    """Tell whether a worker's incarnation ended unannounced, or may have.

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


def judge_loss(worker, how, chances, now):
    """Judge the loss of a worker as evidence against each run there.

    Args:
      worker: A model.Worker, lost with its runs.
      how: A notes.WorkerEnd.
      chances: A Chances.
      now: A float.
    Returns:
      A list of Blame, one for each run that may have begun.
    """
    # Whether and when a silent worker crashed is not known.
    is_timed = how is not notes.WorkerEnd.LAPSED
    ran_by_run = {
        run.key: losses.bound_run_time(worker, run, now)
        for run in losses.list_begun(worker)
    }
    suspect_steps = {
        run.step_key
        for run in losses.list_begun(worker)
        if is_timed
        and losses.is_within(ran_by_run[run.key].max_s, losses.SUSPECT_WINDOW_S)
    }
    blames = []
    for run in losses.list_begun(worker):
        ran = ran_by_run[run.key]
        points = count_points(run, ran, suspect_steps, is_timed, chances)
        if points and is_explained(run, ran, worker, ran_by_run):
            points = 0
        is_doubted = not points and is_doubtful(run, ran, is_timed)
        blames.append(Blame(run, ran, points, is_doubted))
    return blames


def is_doubtful(run, ran, is_timed):
    """Whether a run may have just begun for all that this owner knows of it.

    Args:
      run: A model.Run.
      ran: Its losses.RunTime.
      is_timed: A bool, whether the time at which the worker was gone is known.
    Returns:
      A bool; false if this owner has heard of the run, or its record shows that it was
      started long before.
    """
    is_young = ran.max_s is None or ran.max_s <= UNHEARD_SUSPECT_WINDOW_S
    # A lasting task that is not known to have crashed anything has mostly run for long.
    return run.known_since is None and is_young and (is_timed or not run.step.lasting)


def is_explained(run, ran, worker, ran_by_run):
    """Whether a task on trial explains the loss of a worker better than another run.

    Args:
      run: A model.Run that is no suspect by itself if it ran for longer than the
        suspect window.
      ran: Its losses.RunTime.
      worker: Their model.Worker.
      ran_by_run: The losses.RunTimes of all runs there, by TaskKey.
    Returns:
      A bool.
    """
    if run.trial_points or losses.is_within(ran.max_s, losses.SUSPECT_WINDOW_S):
        return False
    return any(
        other.trial_points
        and losses.is_within(ran_by_run[other.key].max_s, WIDE_SUSPECT_WINDOW_S)
        for other in losses.list_begun(worker)
    )


def count_points(run, ran, suspect_steps, is_timed, chances):
    """Count the points that a crash gives the task of a run.

    Args:
      run: A model.Run.
      ran: Its losses.RunTime.
      suspect_steps: A set of the messages.StepKeys with runs that are suspects.
      is_timed: A bool, whether the time at which the worker was gone is known.
      chances: A Chances.
    Returns:
      An int.
    """
    if ran.max_s is None:
        return 0
    if is_timed and ran.max_s <= losses.SUSPECT_WINDOW_S:
        return count_suspect_points(run, suspect_steps, chances)
    may_be_suspect = may_have_just_begun(run, ran)
    if may_be_suspect and (run.known_since is None or not is_timed):
        # Of a silent worker this counts only if it turns out to have crashed, and a new
        # owner can't tell an outage from tasks that crash their workers together.
        return SHARED_SUSPECT_POINTS
    if run.step.lasting and not may_be_suspect:
        # Any lasting task sees workers crash in the course of time.
        return 0
    within_s = losses.SUSPECT_WINDOW_S if may_be_suspect else ran.max_s
    chance = chances.compute(run.step_key, within_s)
    return SHARED_SUSPECT_POINTS if chance <= LOW_CHANCE else 0


def count_suspect_points(run, suspect_steps, chances):
    """Count the points of a run that is known to have just begun; as `count_points`."""
    # An unacknowledged start may never have begun.
    is_answered = run.state is not model.RunState.ORDERED
    is_alone = is_answered and suspect_steps == {run.step_key}
    chance = chances.compute_strict(run.step_key, losses.SUSPECT_WINDOW_S)
    is_rare = chance <= RARE_CHANCE
    return SOLE_SUSPECT_POINTS if is_alone and is_rare else SHARED_SUSPECT_POINTS


def may_have_just_begun(run, ran):
    """Whether a run may have started within the suspect window, by its RunTime."""
    is_unheard = run.known_since is None
    wide_s = UNHEARD_SUSPECT_WINDOW_S if is_unheard else WIDE_SUSPECT_WINDOW_S
    return ran.min_s <= losses.SUSPECT_WINDOW_S and ran.max_s <= wide_s
