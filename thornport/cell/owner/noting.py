"""Log lines for the notes of the decisions; see `decisions.notes`."""

import functools
import math

from thornport.cell.decisions import notes
from thornport.jobs import workspace
from thornport.kernel import logs

# The metric that counts each kind of note.
COUNTER_BY_NOTE = {
    notes.RunLost: "runs.lost",
    notes.LossSettled: "losses.settled",
    notes.IncarnationHeard: "workers.heard",
    notes.IncarnationOver: "workers.over",
    notes.LeaseOver: "workers.leases_over",
    notes.ProgressOmitted: "jobs.progress_omitted",
    notes.EndsOmitted: "workers.ends_omitted",
    notes.LimitWait: "steps.at_limit",
    notes.StepDone: "steps.done",
    notes.SpeedChanged: "machines.speed_changed",
    notes.ProspectChanged: "jobs.prospect_changed",
    notes.RunPreempted: "runs.preempted",
    notes.StartGivenUp: "starts.given_up",
    notes.StartResent: "starts.resent",
    notes.StartAbandoned: "starts.abandoned",
    notes.LateStartAwaited: "starts.late_awaited",
}


@functools.singledispatch
def log_note(note):
    """Log a note.

    Args:
      note: A message of notes.
    """
    raise TypeError(f"no log line for note {note!r}")


@log_note.register
def log_run_lost(note: notes.RunLost):
    """Log that a run was lost with its worker."""
    logs.log(
        "run-lost",
        job=note.key.job_id,
        task=note.key.name_in_job(),
        run=note.run,
        worker=note.worker_id,
        how=note.how.value,
        ran_ms="" if note.ran_ms is None else note.ran_ms,
        beside=note.beside,
        points=note.points,
        points_in_all=note.points_in_all,
        unproven=note.unproven,
    )


@log_note.register
def log_loss_settled(note: notes.LossSettled):
    """Log what the loss of a silent worker has turned out to be."""
    logs.log(
        "loss-settled",
        job=note.key.job_id,
        task=note.key.name_in_job(),
        worker=note.worker_id,
        outcome=note.settled.value,
        points=note.points,
        points_in_all=note.points_in_all,
    )


@log_note.register
def log_incarnation_over(note: notes.IncarnationOver):
    """Log that the incarnation of a worker ended, and what proved it."""
    logs.log(
        "worker-over",
        worker=note.worker_id,
        address=note.address,
        how=note.how.value,
        started_at_ms=format_start(note.started_at_ms),
        next_started_at_ms=format_start(note.next_started_at_ms),
        runs=note.runs,
        granted_ms=note.granted_ms,
        poll_deadline_ms="" if note.poll_deadline_ms is None else note.poll_deadline_ms,
    )


@log_note.register
def log_incarnation_heard(note: notes.IncarnationHeard):
    """Log which incarnation of a worker answers, and how long its lease may last."""
    logs.log(
        "incarnation-heard",
        worker=note.worker_id,
        token=note.token,
        started_at_ms=format_start(note.started_at_ms),
        clock_ms=note.clock_ms,
        granted_ms=note.granted_ms,
        ends=note.ends,
        running=note.running,
    )


@log_note.register
def log_lease_over(note: notes.LeaseOver):
    """Log why the lease of a silent worker counts as over."""
    logs.log(
        "lease-over",
        worker=note.worker_id,
        token=note.token,
        started_at_ms=format_start(note.started_at_ms),
        granted_by="this-owner" if note.is_heard else "earlier-owner",
        clock_ms=note.clock_ms if note.is_heard else "",
        granted_ms=note.granted_ms if note.is_heard else "",
        heard_ago_ms=note.heard_ago_ms if note.is_heard else "",
        runs=note.runs,
    )


@log_note.register
def log_progress_omitted(note: notes.ProgressOmitted):
    """Log that the record of a job's progress can't be of the job."""
    logs.log("progress-omitted", job=note.job_id, reason=note.reason)


@log_note.register
def log_ends_omitted(note: notes.EndsOmitted):
    """Log that the answers of a worker begin or cease to omit ends."""
    logs.log(
        "ends-omitted" if note.is_omitting else "ends-complete",
        worker=note.worker_id,
        listed=note.listed,
        unlisted=note.unlisted,
        withheld=note.is_withheld,
    )


@log_note.register
def log_run_preempted(note: notes.RunPreempted):
    """Log that a run is stopped to make room for an urgent job."""
    log_run(
        "run-preempted",
        note,
        for_job=note.for_job,
        percent=note.percent,
        ran_ms=note.ran_ms,
    )


@log_note.register
def log_start_given_up(note: notes.StartGivenUp):
    """Log that no ticket for a start arrived in time."""
    log_run("start-given-up", note)


@log_note.register
def log_start_resent(note: notes.StartResent):
    """Log that a start without an answer is sent again."""
    log_run("start-resent", note)


@log_note.register
def log_start_abandoned(note: notes.StartAbandoned):
    """Log that a start without an answer is not sent again, and its run is stopped."""
    log_run("start-abandoned", note)


@log_note.register
def log_late_start_awaited(note: notes.LateStartAwaited):
    """Log that a task waits until a start of its last run can't arrive any more."""
    log_run("late-start-awaited", note, left_ms=note.left_ms)


@log_note.register
def log_step_done(note: notes.StepDone):
    """Log that a step is done, and how long its tasks were expected to run."""
    logs.log(
        "step-done",
        job=note.key.job_id,
        step=note.key.name_in_job(),
        took_ms=note.took_ms,
        predicted_ms=note.predicted_ms,
    )


@log_note.register
def log_speed_changed(note: notes.SpeedChanged):
    """Log the learned speed of a machine, in percent of the usual one."""
    logs.log(
        "machine-speed",
        machine=note.machine,
        percent=round(100 * math.exp(note.speed_log)),
        runs=note.runs,
    )


@log_note.register
def log_prospect_changed(note: notes.ProspectChanged):
    """Log that a waiting job goes behind those that can still be in time."""
    logs.log(
        "job-prospect",
        job=note.job_id,
        prospect=note.prospect.name.lower(),
        waited_ms=note.waited_ms,
        overdue_ms=note.overdue_ms,
    )


@log_note.register
def log_limit_wait(note: notes.LimitWait):
    """Log that a step starts or stops waiting for the limit of its workspace."""
    logs.log(
        "step-at-limit" if note.is_waiting else "step-within-limit",
        job=note.key.job_id,
        step=note.key.name_in_job(),
        workspace=note.workspace,
        used=format_demand(note.used),
        limit=format_demand(note.limit),
        version=note.version,
    )


def observe_note(note, metrics):
    """Count a note, and observe the durations that it states.

    Args:
      note: A message of notes.
      metrics: A metrics.Metrics.
    """
    metrics.count(COUNTER_BY_NOTE[type(note)])
    if isinstance(note, notes.StepDone) and note.took_ms:
        off_ms = abs(note.took_ms - note.predicted_ms)
        metrics.observe("steps.run_ms", note.took_ms)
        metrics.observe("steps.prediction_off_ms", off_ms)


def format_demand(demand):
    """Format a Demand as `MILLICORES/MEMORY_MB/ACCELERATORS`.

    Args:
      demand: A spec.Demand, or None where there is no limit.
    Returns:
      A str; `-` stands for a resource without a limit.
    """
    if demand is None:
        return ""
    parts = (demand.millicores, demand.memory_mb, demand.accelerators)
    return "/".join("-" if n >= workspace.UNLIMITED else str(n) for n in parts)


def format_start(started_at_ms):
    """Format the start time of a worker; empty if unknown."""
    return "" if started_at_ms is None else started_at_ms


def log_run(event, note, **fields):
    """Log a decision on one run.

    Args:
      event: A str.
      note: A notes.RunNote.
      fields: Further fields of the line.
    """
    logs.log(
        event,
        job=note.key.job_id,
        task=note.key.name_in_job(),
        run=note.run,
        worker=note.worker_id,
        **fields,
    )
