"""Conversion between the owner's state of a job and its record in the store."""

from thornport.cell.decisions import messages, model
from thornport.jobs import record


def make_progress(job):
    """Make the record of a job's progress.

    Args:
      job: A model.JobEntry.
    Returns:
      A record.Progress.
    """
    if job.state is record.JobState.SUCCEEDED:
        return record.Progress(job.state, (), job.times_done)
    if job.is_over():
        live = tuple(
            make_step(step) for step in job.steps_by_key.values() if step.live_by_index
        )
        return record.Progress(job.state, live, job.times_done, job.cause)
    steps = (step for step in job.steps_by_key.values() if has_begun(step))
    return record.Progress(
        job.state, tuple(make_step(step) for step in steps), job.times_done
    )


def is_closed(job):
    """Tell whether only the state of a job is still needed.

    Args:
      job: A model.JobEntry.
    Returns:
      A bool; false while runs of a job that is over have yet to be stopped.
    """
    if job.state is record.JobState.SUCCEEDED:
        return True
    live = (step.live_by_index for step in job.steps_by_key.values())
    return job.is_over() and not any(live)


def has_begun(step):
    """Tell whether a step has anything to record."""
    return bool(step.is_done or step.last_run)


def make_step(step):
    """Make the record of a step.

    Args:
      step: A model.StepState.
    Returns:
      A record.StepProgress.
    """
    key = step.key
    if step.is_done and not step.live_by_index:
        return record.StepProgress(key.time, key.step, step.last_run, all_done=True)
    live = tuple(
        record.LiveRun(
            index, run.run, run.worker_id, run.address, run.worker_started_at_ms
        )
        for index, run in step.live_by_index.items()
    )
    return record.StepProgress(
        key.time,
        key.step,
        step.last_run,
        step.is_done,
        tuple(step.done),
        tuple(step.failures_by_index.items()),
        live,
        tuple(step.checkpoints_by_index.items()),
        tuple(step.crash_points_by_index.items()),
    )


def make_step_state(job, time, number):
    """Make the state of a step that has not begun.

    Args:
      job: A model.JobEntry.
      time, number: Ints, which of the job's times and which of its steps.
    Returns:
      A model.StepState, added to the job.
    """
    key = messages.StepKey(job.job_id, time, number)
    step_spec = job.record.job.steps[number]
    step = model.StepState(key, step_spec, waiting=set(range(step_spec.count)))
    job.steps_by_key[key] = step
    return step


def restore_step(job, recorded):
    """Make the state of a step from its record.

    Args:
      job: A model.JobEntry.
      recorded: A record.StepProgress.
    Returns:
      A list of the live Runs of the step, all UNHEARD; the step is added to the job.
    """
    step = make_step_state(job, recorded.time, recorded.step)
    step.last_run = recorded.last_run
    step.is_done = step.is_advanced = recorded.all_done
    step.done = set(recorded.done)
    step.failures_by_index = dict(recorded.failures)
    step.checkpoints_by_index = dict(recorded.checkpoints)
    step.crash_points_by_index = dict(recorded.crash_points)
    for live in recorded.live:
        key = messages.TaskKey(job.job_id, recorded.time, recorded.step, live.index)
        step.live_by_index[live.index] = model.Run(
            key,
            live.run,
            live.worker_id,
            step.spec,
            model.RunState.UNHEARD,
            address=live.address,
            worker_started_at_ms=live.worker_started_at_ms,
        )
    if recorded.all_done:
        step.waiting.clear()
    step.waiting -= step.done
    step.waiting -= step.live_by_index.keys()
    return list(step.live_by_index.values())
