"""Conversion between the owner's state of a job and its record in the store."""

from thornport.cell.decisions import messages, model
from thornport.jobs import record
from thornport.kernel import codec


def make_progress(job):
    """Make the record of a job's progress.

    Args:
      job: A model.JobEntry.
    Returns:
      A record.Progress.
    """
    if job.is_over():
        live = tuple(
            make_step(step)
            for step in job.steps_by_key.values()
            if step.live_by_index or step.late_by_index
        )
        return record.Progress(job.state, live, job.times_done, job.cause, job.has_run)
    steps = (step for step in job.steps_by_key.values() if has_begun(step))
    return record.Progress(
        job.state,
        tuple(make_step(step) for step in steps),
        job.times_done,
        has_run=job.has_run,
    )


def is_closed(job):
    """Tell whether only the state of a job is still needed.

    Args:
      job: A model.JobEntry.
    Returns:
      A bool; false while runs of a job that is over have yet to be stopped, or while
      start commands of them may still arrive.
    """
    if not job.is_over():
        return False
    steps = job.steps_by_key.values()
    live = [run for step in steps for run in step.live_by_index.values()]
    late = [run for step in steps for run in step.late_by_index.values()]
    if job.state is record.JobState.SUCCEEDED:
        # The other members of a gang that is done end by themselves.
        live = [run for run in live if run.late_until]
    return not live and not any(run.has_result for run in late)


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
    if step.is_done and not step.live_by_index and not step.late_by_index:
        return record.StepProgress(key.time, key.step, step.last_run, all_done=True)
    live = tuple(
        record.LiveRun(
            index,
            run.run,
            run.worker_id,
            run.address,
            run.worker_started_at_ms,
            run.has_begun,
            run.has_more_copies,
            run.state is model.RunState.OVER,
            run.decided_at_ms,
            run.silent_after_ms,
            run.long_lease_until_ms,
        )
        for index, run in (*step.live_by_index.items(), *step.late_by_index.items())
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
        tuple(step.crash_evidence.points_by_index.items()),
        tuple(step.failed_run_by_index.items()),
        tuple(
            record.UnprovenLoss(index, loss.worker_id, loss.address, loss.started_at_ms)
            for index, found in step.crash_evidence.unproven_by_index.items()
            for loss in found
        ),
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


def find_fault(job, saved):
    """Find why a record can't be the progress of a job: another writer made it.

    Args:
      job: A model.JobEntry.
      saved: A record.Progress.
    Returns:
      A str that names the first fault; empty if there is none.
    """
    steps = job.record.job.steps
    times = max(1, job.record.job.repeats)
    for place, step in enumerate(saved.steps):
        if not (0 <= step.step < len(steps) and 0 <= step.time < times):
            return f"steps[{place}]: no step {step.time}.{step.step}"
        if not 0 <= step.last_run <= codec.MAX_WHOLE:
            return f"steps[{place}]: last run {step.last_run}"
        lost = {one.index for one in step.unproven_losses} - {model.GANG_INDEX}
        indexes = {run.index for run in step.live}.union(step.done, lost)
        odd = [n for n in indexes if not 0 <= n < steps[step.step].count]
        if odd:
            return f"steps[{place}]: no task {odd[0]}"
    return ""


def restore_step(job, recorded):
    """Make the state of a step from its record.

    Args:
      job: A model.JobEntry.
      recorded: A record.StepProgress.
    Returns:
      A list of Runs: the live ones of the step, UNHEARD, and those whose start commands
      may arrive late, OVER; the step is added to the job.
    """
    step = make_step_state(job, recorded.time, recorded.step)
    step.last_run = recorded.last_run
    step.is_done = step.is_advanced = recorded.all_done
    step.done = set(recorded.done)
    step.failures_by_index = dict(recorded.failures)
    step.failed_run_by_index = dict(recorded.failed_runs)
    step.checkpoints_by_index = dict(recorded.checkpoints)
    for index, points in recorded.crash_points:
        step.crash_evidence.add_points(index, points)
    runs = []
    for live in recorded.live:
        key = messages.TaskKey(job.job_id, recorded.time, recorded.step, live.index)
        run = model.Run(
            key,
            live.run,
            live.worker_id,
            step.spec,
            model.RunState.OVER if live.is_over else model.RunState.UNHEARD,
            address=live.address,
            worker_started_at_ms=live.worker_started_at_ms,
            has_begun=live.has_begun,
            has_more_copies=live.has_more_copies,
            # Records omit how a run ended, so its end is taken to count.
            has_result=live.is_over,
            decided_at_ms=live.decided_at_ms,
            silent_after_ms=live.silent_after_ms,
            long_lease_until_ms=live.long_lease_until_ms,
        )
        runs.append(run)
        by_index = step.late_by_index if live.is_over else step.live_by_index
        by_index[live.index] = run
    if recorded.all_done:
        step.waiting.clear()
    step.waiting -= step.done
    step.waiting -= step.live_by_index.keys()
    return runs
