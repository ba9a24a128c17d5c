"""Executes the commands of a cell's owner."""

import functools

from thornport.cell.decisions import messages, ticketing
from thornport.cell.peers import peering
from thornport.kernel import clock, logs, tasks

# Of a start at a worker to which no lease was granted before; see `renewal`.
UNCONFIRMED = messages.Withheld("the ownership of the cell is not confirmed")


@functools.singledispatch
def execute(command, session):
    """Execute a command.

    Args:
      command: A message of messages, or a ticketing.CallAdvice.
      session: An owner.OwnerSession.
    """
    raise TypeError(f"cannot execute {command!r}: unknown kind of command")


@execute.register
def start_run(command: messages.StartOrder, session):
    """Send a start command to a worker."""
    if session.core.is_urgent_at(command.worker_id):
        session.polling.end_pause(command.worker_id)
    tasks.spawn(_start_run(command, session), "start-run")


async def _start_run(command, session):
    sent_at = clock.read_monotonic()
    command = session.limit_lease(command, sent_at)
    if command.deadline_ms:
        outcome = await session.workers.start(command)
    else:
        outcome = UNCONFIRMED
    now = clock.read_monotonic()
    session.metrics.observe("worker.start_ms", (now - sent_at) * 1000)
    log_command("run-start", command, outcome, deadline_ms=command.deadline_ms)
    if session.is_active:
        session.core.take_start_outcome(command, outcome, now)
        session.pump()


@execute.register
def stop_run(command: messages.StopOrder, session):
    """Send a stop command to a worker."""
    tasks.spawn(_stop_run(command, session), "stop-run")


async def _stop_run(command, session):
    outcome = await session.workers.stop(command)
    log_command("run-stop", command, outcome)
    if session.is_active:
        session.core.take_stop_outcome(command, outcome, clock.read_monotonic())
        if isinstance(outcome, messages.Done):
            # Only a poll sent from now on shows whether the run is gone.
            session.polling.poll_again(command.worker_id)
        session.pump()


@execute.register
def pace_run(command: messages.PaceOrder, session):
    """Send a pace command to a worker."""
    tasks.spawn(_pace_run(command, session), "pace-run")


async def _pace_run(command, session):
    session.metrics.count("worker.paces")
    outcome = await session.workers.pace(command)
    log_command("run-pace", command, outcome, percent=command.percent)
    if session.is_active:
        session.core.take_pace_outcome(command, outcome, clock.read_monotonic())
        session.pump()


@execute.register
def call_advice(command: ticketing.CallAdvice, session):
    """Ask a process of the cell to call for advice."""
    step = command.request.step
    left_ms = clock.compute_remaining_ms(command.deadline, clock.read_monotonic())
    session.bus.send(
        command.address,
        "",
        peering.Advise(
            step.job_id, step.time, step.step, command.request.worker_ids, left_ms
        ),
    )


@execute.register
def poll_again(command: messages.PollAgain, session):
    """Poll a worker at once."""
    session.polling.poll_again(command.worker_id)


def log_command(event, command, outcome, **fields):
    """Log a command and its outcome, with further fields of the command."""
    key = command.key
    reason = getattr(outcome, "reason", "")
    logs.log(
        event,
        job=key.job_id,
        task=key.name_in_job(),
        run=command.run,
        worker=command.worker_id,
        token=command.token,
        outcome=type(outcome).__name__,
        reason=getattr(reason, "value", reason),
        **fields,
    )
