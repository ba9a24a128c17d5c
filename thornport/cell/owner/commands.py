"""Carrying out the orders of a cell's owner."""

import functools

from thornport.cell.decisions import messages, ticketing
from thornport.cell.peers import peering
from thornport.kernel import clock, logs, tasks


@functools.singledispatch
def execute(command, session):
    """Carry out an order.

    Args:
      order: A message of messages, or a ticketing.CallAdvice.
      session: An owner.OwnerSession.
    """
    raise TypeError(f"no way to carry out {command!r}")


@execute.register
def start_run(command: messages.StartOrder, session):
    """Tell a worker to start a run."""
    if session.core.is_urgent_at(command.worker_id):
        session.polling.end_pause(command.worker_id)
    tasks.spawn(_start_run(command, session), "start-run")


async def _start_run(command, session):
    sent_at = clock.read_monotonic()
    outcome = await session.workers.start(command)
    now = clock.read_monotonic()
    session.metrics.observe("worker.start_ms", (now - sent_at) * 1000)
    log_command("run-start", command, outcome)
    if session.is_active:
        session.core.take_start_outcome(command, outcome, now)
        session.pump()


@execute.register
def stop_run(command: messages.StopOrder, session):
    """Tell a worker to stop a run."""
    tasks.spawn(_stop_run(command, session), "stop-run")


async def _stop_run(command, session):
    outcome = await session.workers.stop(command)
    log_command("run-stop", command, outcome)
    if session.is_active:
        session.core.take_stop_outcome(command, outcome, clock.read_monotonic())
        if isinstance(outcome, messages.Done):
            # Whether the run is gone only a look that is sent from now on tells.
            session.polling.poll_again(command.worker_id)
        session.pump()


@execute.register
def call_advice(command: ticketing.CallAdvice, session):
    """Have one of our processes call for advice."""
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
def poll_again(command: messages.LookAgain, session):
    """Look at a worker at once."""
    session.polling.poll_again(command.worker_id)


def log_command(event, command, outcome):
    """Log an order and what came of it."""
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
    )
