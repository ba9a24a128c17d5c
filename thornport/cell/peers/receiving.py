"""Messages from the other processes of a cell: what each makes this one do.

Many are meant for the owner; a process that does not decide drops those, and the
sender asks or tells again, or finds what it wants in the store. One that is
becoming the owner takes word of jobs already.
"""

import functools

from returns import result

from thornport.cell.decisions import messages
from thornport.cell.peers import lapses, peering, workercalls
from thornport.kernel import clock, logs, tasks


@functools.singledispatch
def take(message, daemon, address):
    """Take a message of another process.

    Args:
      message: A message of peering.
      daemon: A daemon.SchedulerDaemon.
      address: A str, the sender's.
    """
    raise TypeError(f"no way to take {message!r}")


# Who is there.


@take.register
def take_hello(message: peering.Hello, daemon, address):
    """A process can call for advice; tell it of the others.

    One that is becoming the owner takes it too: it needs calls for advice as soon
    as it decides. A process that messages do not reach yet is given no calls; it
    greets again until it is answered.
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
    """The owner tells which peers the store answers."""
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


# Jobs that peers keep.


@take.register
def take_unresolved(message: peering.Unresolved, daemon, address):
    """A job at a peer may be kept."""
    daemon.serving.intake.note_unresolved(message.job_id)


@take.register
def take_incoming(message: peering.Incoming, daemon, address):
    """A job is being kept by a peer."""
    if daemon.session is not None:
        daemon.session.take_incoming(message.record)


@take.register
def take_kept(message: peering.Kept, daemon, address):
    """A job, or its cancel, is kept."""
    if daemon.session is not None:
        daemon.session.take_persisted_by_peer(message.job_id, message.is_cancel)


# From one owner to the next.


@take.register
def take_leaving(message: peering.Leaving, daemon, address):
    """The owner stops and hands the cell over."""
    daemon.candidacy.forget_owner()


@take.register
def take_alive(message: peering.Alive, daemon, address):
    """The owner lives."""
    daemon.relayed.hear_peer()
    daemon.liveness.hear(address, message.lag_s)


@take.register
def answer_owner_heard(message: peering.AskOwnerHeard, daemon, address):
    """A peer does not hear the owner."""
    daemon.liveness.answer(message, address)


@take.register
def take_owner_heard(message: peering.OwnerHeard, daemon, address):
    """A peer tells whether it hears the owner."""
    daemon.liveness.take_answer(message, address)


@take.register
def take_offer(message: peering.Offer, daemon, address):
    """An owner offers the cell: it stops, lacks the store, or its VM is smaller."""
    is_taken = daemon.take_offer(message.token, address)
    daemon.bus.send(address, "", peering.OfferAnswer(message.token, is_taken))


@take.register
def take_offer_answer(message: peering.OfferAnswer, daemon, address):
    """A process takes the cell that was offered to it, or does not."""
    daemon.offering.take_answer(address, message)


@take.register
def take_ask_ceased(message: peering.AskCeased, daemon, address):
    """A successor asks whether this process gives orders yet."""
    session = daemon.session
    if session is not None and session.core.token < message.token:
        session.lose("a successor asks")
    # A session that is lost is the daemon's no more.
    if daemon.session is None:
        now = clock.read_monotonic()
        told = lapses.tell(daemon.known_lapses, message.token, now)
        daemon.bus.send(address, "", told)


@take.register
def take_ceased(message: peering.Ceased, daemon, address):
    """An earlier owner gives no orders any more."""
    session = daemon.session
    if session is not None and session.core.token == message.token:
        told = lapses.read(message, clock.read_monotonic())
        session.take_ceased(address, told)


# Calls to the store for a peer.


@take.register(peering.RelayRead)
@take.register(peering.RelayNewest)
@take.register(peering.RelayCommit)
def relay(message, daemon, address):
    """A process that the store does not answer wants a call made."""
    tasks.spawn(daemon.relayed.serve(address, message), "relay")


@take.register
def wait_longer(message: peering.RelayedComing, daemon, address):
    """A peer's answer is under way."""
    daemon.relayed.wait_longer(message)


@take.register(peering.RelayedItem)
@take.register(peering.RelayedUnchanged)
@take.register(peering.RelayedRevision)
@take.register(peering.RelayedFailure)
def take_relayed(message, daemon, address):
    """A peer has made a call to the store."""
    daemon.relayed.take_answer(message)


# Calls to workers for the owner.


@take.register
def carry_calls(message: workercalls.WorkerCalls, daemon, address):
    """The owner wants calls to workers made."""
    daemon.call_executor.take_calls(address, message)


@take.register
def take_outcomes(message: workercalls.WorkerOutcomes, daemon, address):
    """A process has made calls to workers."""
    if daemon.session is not None:
        daemon.session.workers.take_outcomes(address, message)


# Questions of callers, passed on to the owner.


@take.register
def answer_state(message: peering.AskState, daemon, address):
    """A process asks for a job's state."""
    core = daemon.get_core()
    if core is not None:
        state = core.read_state(message.job_id, message.caller)
        text = state.value if state is not None else ""
        daemon.bus.send(address, "", peering.StateIs(message.ask_id, text))


@take.register
def answer_waiting(message: peering.AskWaiting, daemon, address):
    """A process asks for a count."""
    core = daemon.get_core()
    if core is not None:
        count = core.count_waiting(message.queue)
        daemon.bus.send(address, "", peering.WaitingIs(message.ask_id, count))


@take.register(peering.StateIs)
@take.register(peering.WaitingIs)
def take_answer(message, daemon, address):
    """The owner answers."""
    daemon.asker.take_answer(message)


# Advice.


@take.register
def take_advise(message: peering.Advise, daemon, address):
    """The owner wants advice."""
    tasks.spawn(advise(message, daemon, address), "advise")


async def advise(message, daemon, address):
    """Call for advice and send the answer to the owner.

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
    """Advice has come, or the call failed."""
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
    """Make the request for advice that a message is about.

    Args:
      message: A peering.Advise or Advised.
    Returns:
      A messages.AdviceRequest.
    """
    step = messages.StepKey(message.job_id, message.time, message.step)
    return messages.AdviceRequest(step, message.worker_ids)
