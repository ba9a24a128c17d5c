"""Carrying out the orders of a cell's owner."""

import functools

from thornport.cell.decisions import messages, ticketing
from thornport.cell.peers import peering
from thornport.kernel import clock, logs, tasks


@functools.singledispatch
def carry_out(order, session):
    """Carry out an order.

    Args:
      order: A message of messages, or a ticketing.CallAdvice.
      session: An owner.OwnerSession.
    """
    raise TypeError(f"no way to carry out {order!r}")


@carry_out.register
def start_run(order: messages.StartOrder, session):
    """Tell a worker to start a run."""
    if session.core.is_urgent_at(order.worker_id):
        session.looks.end_pause(order.worker_id)
    tasks.spawn(_start_run(order, session), "start-run")


async def _start_run(order, session):
    sent_at = clock.read_monotonic()
    outcome = await session.workers.start(order)
    now = clock.read_monotonic()
    session.metrics.observe("worker.start_ms", (now - sent_at) * 1000)
    log_order("run-start", order, outcome)
    if session.is_active:
        session.core.take_start_outcome(order, outcome, now)
        session.pump()


@carry_out.register
def stop_run(order: messages.StopOrder, session):
    """Tell a worker to stop a run."""
    tasks.spawn(_stop_run(order, session), "stop-run")


async def _stop_run(order, session):
    outcome = await session.workers.stop(order)
    log_order("run-stop", order, outcome)
    if session.is_active:
        session.core.take_stop_outcome(order, outcome, clock.read_monotonic())
        if isinstance(outcome, messages.Done):
            # Whether the run is gone only a look that is sent from now on tells.
            session.looks.look_again(order.worker_id)
        session.pump()


@carry_out.register
def call_advice(order: ticketing.CallAdvice, session):
    """Have one of our processes call for advice."""
    step = order.request.step
    left_ms = clock.compute_remaining_ms(order.deadline, clock.read_monotonic())
    session.bus.send(
        order.address,
        "",
        peering.Advise(
            step.job_id, step.time, step.step, order.request.worker_ids, left_ms
        ),
    )


@carry_out.register
def look_again(order: messages.LookAgain, session):
    """Look at a worker at once."""
    session.looks.look_again(order.worker_id)


def log_order(event, order, outcome):
    """Log an order and what came of it."""
    key = order.key
    reason = getattr(outcome, "reason", "")
    logs.log(
        event,
        job=key.job_id,
        task=key.name_in_job(),
        run=order.run,
        worker=order.worker_id,
        token=order.token,
        outcome=type(outcome).__name__,
        reason=getattr(reason, "value", reason),
    )
