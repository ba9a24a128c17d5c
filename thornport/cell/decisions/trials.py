"""Trials of tasks that may crash the workers that start them: pure.

A suspect task starts on trial, where a crash costs least, and nothing else starts at
that worker until the trial has passed, so that a further crash is stronger evidence. A
trial begins only after a delay, so that one burst of restarts counts against the task
once.
"""

from thornport.cell.decisions import crashes, losses

# A suspect is tried again after this delay: a burst of restarts is over by then.
TRIAL_DELAY_S = losses.MOMENT_S
# A trial that has run for this long has passed, and other tasks of its step follow.
TRIAL_DURATION_S = 0.5
# Maximum number of simultaneous trials of a step: each may cost a worker.
MAX_TRIALS = 8
# This many trials, one after another, fit into the time within which users require a
# lasting task to start.
MAX_SERIAL_TRIALS = 4
# A step past its grace starts further trials beside up to this many undecided ones: a
# trial at a silent worker stays undecided until the worker's lease is over.
MAX_UNDECIDED_TRIALS = 2


def list_startable(step, workers_by_id, now, is_overdue=False):
    """List the waiting tasks of a step that may start now.

    Tasks of a step are alike. Where one may have crashed its worker, it is tried first
    and alone, so that a step of a hundred tasks costs one more worker and not a
    hundred. Many suspects with the points of one crash are tried several at a time, as
    many as have passed: one by one, they would wait for longer than users allow a
    lasting task. A suspect in two crashes is tried alone. A gang starts only whole. A
    task waits that would be given up if its silent workers turn out to have crashed.

    Args:
      step: A model.StepState.
      workers_by_id: Model.Workers by id.
      now: A float.
      is_overdue: Whether the step is past its grace; see `stalls`.
    Returns:
      A sorted list of task indexes.
    """
    points_by_index = step.crash_evidence.suspicion_by_index
    if not points_by_index:
        return sorted(step.waiting)
    waiting = [i for i in sorted(step.waiting) if step.crash_evidence.may_start(i)]
    if step.spec.gang:
        if len(waiting) < step.spec.count:
            return []
        is_delayed = any(is_trial_delayed(step, index, now) for index in waiting)
        return waiting if is_overdue or not is_delayed else []
    tried = [
        run for index, run in step.live_by_index.items() if index in points_by_index
    ]
    undecided = [
        run
        for run in tried
        if not has_passed_trial(run, workers_by_id.get(run.worker_id), now)
    ]
    max_undecided = MAX_UNDECIDED_TRIALS if is_overdue else 0
    if len(undecided) > max_undecided:
        return []
    suspects = [index for index in waiting if index in points_by_index]
    if not suspects:
        return waiting
    if not is_overdue:
        suspects = [i for i in suspects if not is_trial_delayed(step, i, now)]
        if not suspects:
            return []
    first = max(suspects, key=points_by_index.get)
    if (
        points_by_index[first] > crashes.SHARED_SUSPECT_POINTS
        or len(suspects) <= MAX_SERIAL_TRIALS
    ):
        return [first]
    proven = len(tried) + len(step.done & points_by_index.keys())
    return suspects[: min(MAX_TRIALS, max(1, proven))]


def find_trial_due(worker, run, now):
    """Find when the task of a run that was lost with its worker may be tried again.

    Args:
      worker: A model.Worker.
      run: A model.Run.
      now: A float.
    Returns:
      A float; None without a delay: where the run outlasted the suspect window, or an
      earlier owner started it, so that any task there may be a suspect.
    """
    if run.known_since is None:
        return None
    if losses.bound_run_time(worker, run, now).min_s > losses.SUSPECT_WINDOW_S:
        return None
    return losses.find_lost_at(worker, now) + TRIAL_DELAY_S


def is_trial_delayed(step, index, now):
    """Whether a task, by its index in a model.StepState, may not be tried yet."""
    return now < step.trial_due_by_index.get(index, now)


def may_be_tried(step, worker, now):
    """Tell whether a suspect task of a step may start on trial at a worker.

    Suspect tasks of several steps with one point each are tried together, up to as many
    as have passed their trial at the worker; with more points they are tried alone.

    Args:
      step: A model.StepState with crash points.
      worker: A model.Worker.
      now: A float.
    Returns:
      A bool.
    """
    tried = [run for run in worker.runs_by_key.values() if run.trial_points]
    undecided = [run for run in tried if not has_passed_trial(run, worker, now)]
    if not undecided:
        return True
    points = max(step.crash_evidence.suspicion_by_index.values())
    points = max(points, *(run.trial_points for run in undecided))
    passed = len(tried) - len(undecided)
    return points <= crashes.SHARED_SUSPECT_POINTS and len(undecided) < min(
        MAX_TRIALS, passed
    )


def is_on_trial(worker, now):
    """Tell whether the trial of a suspect task at a worker is undecided.

    Args:
      worker: A model.Worker; None if it is not known any more.
      now: A float.
    Returns:
      A bool.
    """
    run = worker and worker.trial
    if run is None or worker.runs_by_key.get(run.key) is not run:
        return False
    return not has_passed_trial(run, worker, now)


def has_passed_trial(run, worker, now):
    """Tell whether a run has lasted for TRIAL_DURATION_S at a worker that answers.

    Args:
      run: A model.Run.
      worker: The model.Worker that it is at; None if it is not known any more.
      now: A float.
    Returns:
      A bool.
    """
    if worker is None or worker.silent_since is not None or run.known_since is None:
        return False
    return now - run.known_since >= TRIAL_DURATION_S
