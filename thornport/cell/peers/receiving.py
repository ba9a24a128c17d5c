"""Handlers of the messages from other processes of a cell.

Many messages are meant for the owner. A process that does not decide drops
those; the sender retries or reads the store instead. A process that is becoming the
owner already accepts notices of jobs.
"""

import functools

from returns import result

from thornport.cell.decisions import messages
from thornport.cell.peers import lapses, peering, workercalls
from thornport.kernel import clock, logs, tasks


@functools.singledispatch
def take(message, daemon, address):
    """Handle a message from another process.

    Args:
      message: A message of peering.
      daemon: A daemon.SchedulerDaemon.
      address: A str, the sender's.
    Raises:
      TypeError: The type of the message has no handler.
    """
    raise TypeError(f"no handler for message {message!r}")


# Membership.


@take.register
def take_hello(message: peering.Hello, daemon, address):
    """Record a process that can call for advice, and send it the lists of peers.

    A process that is becoming the owner records it too: it needs callers for advice
    as soon as it decides. A process that cannot be sent messages yet is given no
    calls; it repeats its greeting until it gets an answer.
    """
    if daemon.session is None:
        return
    now = clock.read_monotonic()
    callers = daemon.session.core.callers
    is_news = callers.greet(
        message.name,
        address,
        message.has_store,
        message.cores,
        now,
        message.is_stopping,
        message.up_s,
        message.hall,
    )
    if is_news:
        logs.log("peer-stopping", peer=message.name)
    daemon.session.take_attestation(address, message.attested)
    lists = callers.list_peers(now)
    answer = peering.Alive()
    if message.knows_version != lists.version:
        answer = peering.Peers(
            lists.with_store,
            lists.others,
            lists.largest_cores,
            lists.stopping,
            lists.version,
        )
    if not daemon.bus.send(address, "", answer):
        callers.forget(message.name)


@take.register
def take_peers(message: peering.Peers, daemon, address):
    """Update the lists of peers from the owner's answer to a greeting."""
    daemon.greeting.take_lists(address, message.version)
    daemon.relayed.hear_peer()
    daemon.liveness.hear(address)
    daemon.candidacy.take_largest(message.largest_cores)
    own = {daemon.bus.address}
    daemon.relayed.peer_addresses = tuple(set(message.with_store) - own)
    listed = (set(message.with_store) | set(message.others)) - own
    known = daemon.peers.addresses
    now = clock.read_monotonic()
    daemon.peers.take(listed, now, set(message.stopping) - own)
    if message.stopping:
        daemon.candidacy.hear_stop(now)
    if daemon.peers.addresses != known:
        logs.log("peers-listed", count=len(daemon.peers.addresses), owner=address)


# Jobs that peers persist.


@take.register
def take_unresolved(message: peering.Unresolved, daemon, address):
    """Note that a job submitted to a peer may have been persisted."""
    daemon.serving.intake.note_unresolved(message.job_id)


@take.register
def take_incoming(message: peering.Incoming, daemon, address):
    """Pass the owner a job that a peer is persisting."""
    if daemon.session is not None:
        daemon.session.take_incoming(message.record)


@take.register
def take_kept(message: peering.Kept, daemon, address):
    """Pass the owner a job or a cancellation that a peer has persisted."""
    if daemon.session is not None:
        daemon.session.take_persisted_by_peer(message)


# Liveness of the owner, handover and takeover.


@take.register
def take_leaving(message: peering.Leaving, daemon, address):
    """Forget an owner that is stopping and hands the cell over."""
    daemon.candidacy.forget_owner()


@take.register
def take_alive(message: peering.Alive, daemon, address):
    """Record a heartbeat of the owner."""
    daemon.relayed.hear_peer()
    daemon.liveness.hear(address, message.lag_s)
    daemon.witness.hear(address, message, clock.read_monotonic())
    if message.must_echo:
        daemon.greeting.echo()


@take.register
def answer_owner_heard(message: peering.AskOwnerHeard, daemon, address):
    """Answer a peer that does not hear the owner."""
    daemon.liveness.answer(message, address)


@take.register
def take_owner_heard(message: peering.OwnerHeard, daemon, address):
    """Count a peer's answer in the vote on a silent owner."""
    daemon.liveness.take_answer(message, address)


@take.register
def take_offer(message: peering.Offer, daemon, address):
    """Answer an owner that offers the cell.

    An owner offers the cell when it is stopping, when the store does not answer it, or
    when its VM is the smaller one.
    """
    is_taken = daemon.take_offer(message.token, address)
    daemon.bus.send(address, "", peering.OfferAnswer(message.token, is_taken))


@take.register
def take_offer_answer(message: peering.OfferAnswer, daemon, address):
    """Pass on whether a process accepts the cell that was offered to it."""
    daemon.offering.take_answer(address, message)


@take.register
def take_ask_ceased(message: peering.AskCeased, daemon, address):
    """End an ownership that a successor has superseded, and confirm it to that one."""
    session = daemon.session
    if session is not None and session.core.token < message.token:
        session.lose("a successor owns the cell")
    # The daemon drops a session that has lost the cell.
    if daemon.session is None:
        now = clock.read_monotonic()
        reported = lapses.make_answer(daemon.known_lapses, message.token, now)
        daemon.bus.send(address, "", reported)


@take.register
def take_ceased(message: peering.Ceased, daemon, address):
    """Pass the owner the confirmation that an earlier owner has stopped deciding."""
    session = daemon.session
    if session is not None and session.core.token == message.token:
        reported = lapses.read_answer(message, clock.read_monotonic())
        session.take_ceased(address, reported)


# Store calls relayed for a peer.


@take.register(peering.RelayRead)
@take.register(peering.RelayNewest)
@take.register(peering.RelayCommit)
def relay(message, daemon, address):
    """Make a store call for a process that the store does not answer."""
    tasks.spawn(daemon.relayed.serve(address, message), "relay")


@take.register
def extend_timeout(message: peering.RelayedComing, daemon, address):
    """Extend the timeout of a relayed call whose answer is in transit."""
    daemon.relayed.extend_timeout(message)


@take.register(peering.RelayedItem)
@take.register(peering.RelayedUnchanged)
@take.register(peering.RelayedRevision)
@take.register(peering.RelayedFailure)
def take_relayed(message, daemon, address):
    """Take the outcome of a store call that a peer made for this process."""
    daemon.relayed.take_answer(message)


# Worker calls made for the owner.


@take.register
def carry_calls(message: workercalls.WorkerCalls, daemon, address):
    """Make calls to workers for the owner."""
    daemon.call_executor.take_calls(address, message)


@take.register
def take_outcomes(message: workercalls.WorkerOutcomes, daemon, address):
    """Pass the owner the outcomes of calls to workers."""
    if daemon.session is not None:
        daemon.session.workers.take_outcomes(address, message)


# Questions of callers, forwarded to the owner.


@take.register
def answer_state(message: peering.AskState, daemon, address):
    """Answer a peer's question for the state of a job."""
    core = daemon.get_core()
    if core is not None:
        state = core.read_state(message.job_id, message.caller)
        text = state.value if state is not None else ""
        daemon.bus.send(address, "", peering.StateIs(message.ask_id, text))


@take.register
def answer_waiting(message: peering.AskWaiting, daemon, address):
    """Answer a peer's question for the number of waiting jobs in a queue."""
    core = daemon.get_core()
    if core is not None:
        count = core.count_waiting(message.queue)
        daemon.bus.send(address, "", peering.WaitingIs(message.ask_id, count))


@take.register(peering.StateIs)
@take.register(peering.WaitingIs)
def take_answer(message, daemon, address):
    """Take the owner's answer to a forwarded question."""
    daemon.asker.take_answer(message)


# Advice.


@take.register
def take_advise(message: peering.Advise, daemon, address):
    """Start a call for advice that the owner has requested."""
    tasks.spawn(advise(message, daemon, address), "advise")


async def advise(message, daemon, address):
    """Call the advice service and send its answer to the owner.

    Args:
      message: A peering.Advise.
      daemon: A daemon.SchedulerDaemon.
      address: A str, the owner's.
    """
    request = make_request(message)
    called = await daemon.ports.advice.advise(request, message.timeout_ms / 1000)
    answer = messages.AdviceAnswer((), 0)
    if isinstance(called, result.Failure):
        logs.log("advice-failed", job=message.job_id, reason=called.failure())
    else:
        answer = called.unwrap()
    advised = peering.Advised(
        message.job_id,
        message.time,
        message.step,
        message.worker_ids,
        isinstance(called, result.Success),
        tuple((ticket.worker_id, ticket.text) for ticket in answer.good),
        answer.valid_ms,
    )
    daemon.bus.send(address, "", advised)


@take.register
def take_advised(message: peering.Advised, daemon, address):
    """Pass the owner the advice, or the failure of the call for it."""
    logs.log(
        "advice-taken",
        job=message.job_id,
        step=f"{message.time}.{message.step}",
        by=address,
        asked=len(message.worker_ids),
        good=len(message.tickets) if message.is_answered else None,
        valid_ms=message.valid_ms,
    )
    core = daemon.get_core()
    if core is None:
        return
    answer = None
    if message.is_answered:
        good = tuple(messages.Ticket(*pair) for pair in message.tickets)
        answer = messages.AdviceAnswer(good, message.valid_ms)
    core.take_advice(make_request(message), answer, clock.read_monotonic())
    daemon.session.pump()


def make_request(message):
    """Make the request for advice that a message refers to.

    Args:
      message: A peering.Advise or Advised.
    Returns:
      A messages.AdviceRequest.
    """
    step = messages.StepKey(message.job_id, message.time, message.step)
    return messages.AdviceRequest(step, message.worker_ids)
