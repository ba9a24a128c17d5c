"""The scheduler process: takes jobs from callers, and may own the cell."""

import functools
import random

import xxhash
from returns import result

from thornport.cell import asking, messages, owner, ownership, peering, relaying
from thornport.jobs import intake, queue, reading, record
from thornport.kernel import clock, logs, tasks
from thornport.store import transactions, watching

HELLO_PERIOD_S = 0.5  # greetings to the owner; see advising.SILENCE_S
OFFER_PERIOD_S = 0.1  # offers of an owner that the store does not answer
LAST_CALLS_S = 0.7  # kept of the grace time for the last answers


class SchedulerDaemon(intake.Telling):
    """One scheduler process.

    Attributes:
      config: The queue.Config in force, None before the first.
      is_stopping: Whether the process was told to stop.
    """

    def __init__(self, reactor, settings, ports, bus, metrics):
        """Make the parts; nothing is opened yet.

        Args:
          reactor: Twisted's reactor.
          settings: A settings.SchedulerSettings.
          ports: A ports.Ports.
          bus: A bus.Bus.
          metrics: A metrics.Metrics.
        """
        self._reactor = reactor
        self._settings = settings
        self._ports = ports
        self._bus = bus
        self._relayed = relaying.RelayedStore(reactor, ports.store, bus)
        self.metrics = metrics
        self.config = None
        self.is_stopping = False
        self.intake = intake.Intake(reactor, self._relayed, metrics, self)
        self._all_peers = set()
        self._asker = asking.Asker(reactor, bus)
        self._standing = ownership.Standing(self)
        self._claimer = None
        self._session = None
        self._owner = None
        self._offered_token = transactions.ABSENT_REVISION

    def start(self):
        """Open the socket for messages and begin to follow the store."""
        listen = self._settings.listen
        self._bus.bind(listen.ip, listen.peer_port)
        self._bus.start(self._settings.process.name, self._take_message)
        self._claimer = ownership.Claimer(
            self._reactor,
            self._ports.store,
            self._settings.process.name,
            self._bus.address,
        )
        self._follow(self._ports.config_key, self._take_config)
        self._follow(ownership.OWNER_KEY, self._take_owner)
        tasks.call_periodically(self._reactor, HELLO_PERIOD_S, self._greet, "greet")
        tasks.call_periodically(self._reactor, OFFER_PERIOD_S, self._offer, "offer")
        logs.log("started", peer=self._bus.address, **describe(self._settings))

    def _follow(self, key, take_value):
        """Follow one key: `take_value` gets bytes, or None when it is gone."""

        def take_all(items):
            values = [item.value for item in items if item.key == key]
            take_value(values[0] if values else None)

        def take_change(change):
            if change.key == key:
                take_value(change.value)

        follower = watching.Follower(
            self._reactor, self._ports.store, key, take_all, take_change
        )
        tasks.spawn(follower.follow(), f"follow {key}")

    def stop(self):
        """Stop in the planned way: hand the cell over, serve what comes.

        Returns:
          A Deferred that fires when the process may end.
        """
        logs.log("stopping", grace_s=self._settings.bounds.grace_s)
        self.is_stopping = True
        held = self._session is not None
        self._standing.leave()
        if held:
            tasks.spawn(self._claimer.release(), "release")
        left_s = self._settings.bounds.grace_s - LAST_CALLS_S
        return tasks.sleep(self._reactor, max(0.0, left_s))

    def is_ready(self):
        """Whether callers are to be sent here."""
        return self.config is not None and not self.is_stopping and self.has_store()

    def has_store(self):
        """Whether the store answers this process."""
        return not self._ports.store.is_away()

    # What the store tells.

    def _take_config(self, value):
        if value is None:
            return
        try:
            config = self._ports.decode_config(value)
        except self._ports.decode_errors as error:
            logs.log("config-undecodable", reason=str(error))
            return
        if self.config is not None and config.version <= self.config.version:
            return
        self.config = config
        logs.log("config-in-force", version=config.version, queues=len(config.queues))
        if self._session is not None:
            self._session.core.take_config(config)
            self._session.pump()

    def _take_owner(self, value):
        known, self._owner = self._owner, ownership.decode_owner(value or b"")
        if self._owner != known:
            logs.log("owner-changed", owner=self._owner.name if self._owner else "")
        if self._owner is None:
            self._standing.key_is_free()
        elif self._session is not None and self._claimer.lease_id not in (
            0,
            self._owner.lease_id,
        ):
            self._standing.key_is_lost()
        self._greet()

    # The actions of ownership.Standing.

    def claim(self):
        """Try to get the key."""
        tasks.spawn(self._claim(), "claim")

    async def _claim(self):
        while self.config is None:
            await tasks.sleep(self._reactor, ownership.RETRY_S)
        await tasks.sleep(self._reactor, spread_claim(self._settings.process))
        offered, self._offered_token = self._offered_token, 0
        if self._owner is not None and not offered:
            self._standing.claim_failed()
            return
        if await self._claimer.claim(offered):
            self._standing.claim_won()
            return
        self._standing.claim_failed()
        await tasks.sleep(self._reactor, ownership.RETRY_S)
        if self._owner is None:
            self._standing.key_is_free()

    def rebuild(self):
        """Read what an earlier owner kept."""
        token = self._claimer.token
        session = self._session = owner.OwnerSession(
            self._reactor,
            self._ports,
            self._bus,
            self.metrics,
            self._settings,
            token,
            self._standing.key_is_lost,
        )
        tasks.spawn(self._keep_lease(session), "keep-lease")
        tasks.spawn(self._rebuild(session), "rebuild")

    async def _keep_lease(self, session):
        if await self._claimer.renew(lambda: session.is_active):
            session.lose("the lease is gone")

    async def _rebuild(self, session):
        if await session.rebuild(self.config) and session is self._session:
            self._standing.rebuilt()

    def decide(self):
        """Begin to decide."""
        logs.log("deciding", token=self._claimer.token)
        self._session.core.take_config(self.config)
        self._session.decide()
        self._greet()

    def forget(self):
        """Cease to decide."""
        session, self._session = self._session, None
        if session is not None:
            session.stop()
            logs.log("not-deciding", token=session.core.token)
        # The key may be free already, and its event be past.
        self._reactor.callLater(ownership.RETRY_S, self._claim_if_free)

    def _claim_if_free(self):
        if self._owner is None:
            self._standing.key_is_free()

    # Messages between processes.

    def _greet(self):
        if self._owner is not None and not self.is_stopping:
            name = self._settings.process.name
            hello = peering.Hello(name, self.has_store())
            self._bus.send(self._owner.address, "", hello)

    def _take_message(self, sender, address, message):
        take(message, self, address)

    def get_core(self):
        """The core of the cell if this process decides, else None."""
        session = self._session
        return session.core if session is not None and session.is_deciding else None

    def take_advised(self, message):
        """Take the answer to a call for advice."""
        core = self.get_core()
        if core is None:
            return
        step = messages.StepKey(message.job_id, message.time, message.step)
        request = messages.AdviceRequest(step, message.worker_ids)
        answer = None
        if message.is_answered:
            good = tuple(messages.Ticket(*pair) for pair in message.tickets)
            answer = messages.AdviceAnswer(good, message.valid_ms)
        core.take_advice(request, answer, 0.0, clock.read_monotonic())
        self._session.pump()

    async def advise(self, address, message):
        """Call for advice and send the answer to the owner."""
        step = messages.StepKey(message.job_id, message.time, message.step)
        request = messages.AdviceRequest(step, message.worker_ids)
        called = await self._ports.advice.advise(request, message.timeout_ms / 1000)
        if isinstance(called, result.Failure):
            logs.log("advice-failed", job=step.job_id, reason=called.failure())
            advised = peering.Advised(
                step.job_id, step.time, step.step, message.worker_ids, False
            )
        else:
            answer = called.unwrap()
            advised = peering.Advised(
                step.job_id,
                step.time,
                step.step,
                message.worker_ids,
                True,
                tuple((ticket.worker_id, ticket.text) for ticket in answer.good),
                answer.valid_ms,
            )
        self._bus.send(address, "", advised)

    def take_answer(self, message):
        """Take the owner's answer to a question."""
        self._asker.take_answer(message)

    # What callers ask for.

    async def read_state(self, job_id):
        """Read the state of a job: from the owner, else from the store.

        Args:
          job_id: A str.
        Returns:
          A Result of record.JobState, or of None when there is no such job.
        """
        core = self.get_core()
        known = core.read_state(job_id) if core is not None else None
        if known is not None:
            return result.Success(known)
        if core is None and self._owner is not None:
            state = await self._asker.ask_state(self._owner.address, job_id)
            if state:
                return result.Success(record.JobState(state))
        return await reading.read_state(self._relayed, job_id)

    async def count_waiting(self, queue_name):
        """Count the jobs of a queue of which no task has begun.

        Args:
          queue_name: A str.
        Returns:
          A Result of int.
        """
        core = self.get_core()
        if core is not None:
            return result.Success(core.count_waiting().get(queue_name, 0))
        if self._owner is not None:
            count = await self._asker.ask_waiting(self._owner.address, queue_name)
            if count is not None:
                return result.Success(count)
        return await reading.count_waiting(self._relayed, queue_name)

    def find_queue(self, host, path):
        """Find the queue of a request, a queue.Queue or None."""
        return queue.find_queue(self.config, host, path)

    def answer_state(self, address, message):
        """Answer a question for a job's state, if this process decides."""
        core = self.get_core()
        if core is not None:
            state = core.read_state(message.job_id)
            text = state.value if state is not None else ""
            self._bus.send(address, "", peering.StateIs(message.ask_id, text))

    def answer_waiting(self, address, message):
        """Answer a question for a count, if this process decides."""
        core = self.get_core()
        if core is not None:
            count = core.count_waiting().get(message.queue, 0)
            self._bus.send(address, "", peering.WaitingIs(message.ask_id, count))

    def take_hello(self, address, message):
        """Take a greeting, if this process decides."""
        core = self.get_core()
        if core is None:
            return
        now = clock.read_monotonic()
        core.callers.greet(message.name, address, message.has_store, now)
        peers = peering.Peers(
            tuple(core.callers.list_addresses(True, now)),
            tuple(core.callers.list_addresses(False, now)),
        )
        self._bus.send(address, "", peers)

    def take_peers(self, message):
        """Take the addresses of the other processes."""
        own = {self._bus.address}
        self._relayed.peer_addresses = tuple(set(message.with_store) - own)
        self._all_peers = (set(message.with_store) | set(message.others)) - own

    def tell_unresolved(self, job_id):
        """Tell all peers of a job that may be kept, and be told of as not."""
        for address in self._all_peers:
            self._bus.send(address, "", peering.Unresolved(job_id))

    def tell_incoming(self, value):
        """Tell the owner of a job that is being kept."""
        if self._session is not None and self._session.is_deciding:
            self._session.take_incoming(value)
        elif self._owner is not None:
            self._bus.send(self._owner.address, "", peering.Incoming(value))

    def take_incoming(self, message):
        """Take a job that a peer is keeping, if this process decides."""
        if self.get_core() is not None:
            self._session.take_incoming(message.record)

    def tell_kept(self, job_id, is_cancel=False):
        """Tell the owner that a job, or its cancel, is kept."""
        if self._session is not None and self._session.is_deciding:
            self._session.take_kept_by_peer(job_id, is_cancel)
        elif self._owner is not None:
            message = peering.Kept(job_id, is_cancel)
            self._bus.send(self._owner.address, "", message)

    def take_kept(self, message):
        """Take that a job or a cancel is kept, if this process decides."""
        if self.get_core() is not None:
            self._session.take_kept_by_peer(message.job_id, message.is_cancel)

    def take_unresolved(self, message):
        """Take that a job at a peer may be kept."""
        self.intake.note_unresolved(message.job_id)

    def _offer(self):
        """Offer the cell to a peer while the store does not answer us."""
        session = self._session
        if session is None or self.has_store():
            return
        addresses = self._relayed.peer_addresses
        if addresses:
            address = random.choice(addresses)
            logs.log("cell-offered", token=session.core.token, to=address)
            self._bus.send(address, "", peering.Offer(session.core.token))

    def answer_ceased(self, address, message):
        """Tell a successor that this process gives no orders of its own."""
        session = self._session
        if session is not None and session.core.token < message.token:
            session.lose("a successor asks")
        if self._session is None:
            self._bus.send(address, "", peering.Ceased(message.token))

    def take_ceased(self, address, message):
        """Take that an earlier owner has ceased."""
        session = self._session
        if session is not None and session.core.token == message.token:
            session.take_ceased(address)

    def take_offer(self, message):
        """Take the offer of an owner, if the store answers us."""
        if self.has_store() and self.config is not None:
            self._offered_token = message.token
            self._standing.key_is_offered()

    def take_relayed(self, message):
        """Take a peer's answer for the store."""
        self._relayed.take_answer(message)

    def relay(self, address, message):
        """Call the store for a peer."""
        tasks.spawn(self._relayed.serve(address, message), "relay")


@functools.singledispatch
def take(message, daemon, address):
    """Take a message of another process.

    Args:
      message: A message of peering.
      daemon: A SchedulerDaemon.
      address: A str, the sender's.
    """
    raise TypeError(f"no way to take {message!r}")


@take.register
def take_hello(message: peering.Hello, daemon, address):
    """A process can call for advice."""
    daemon.take_hello(address, message)


@take.register
def take_peers(message: peering.Peers, daemon, address):
    """The owner tells which peers the store answers."""
    daemon.take_peers(message)


@take.register
def take_unresolved(message: peering.Unresolved, daemon, address):
    """A job at a peer may be kept."""
    daemon.take_unresolved(message)


@take.register
def take_incoming(message: peering.Incoming, daemon, address):
    """A job is being kept by a peer."""
    daemon.take_incoming(message)


@take.register
def take_kept(message: peering.Kept, daemon, address):
    """A job, or its cancel, is kept."""
    daemon.take_kept(message)


@take.register
def take_offer(message: peering.Offer, daemon, address):
    """An owner that the store does not answer offers the cell."""
    daemon.take_offer(message)


@take.register
def take_ask_ceased(message: peering.AskCeased, daemon, address):
    """A successor asks whether this process gives orders yet."""
    daemon.answer_ceased(address, message)


@take.register
def take_ceased(message: peering.Ceased, daemon, address):
    """An earlier owner gives no orders any more."""
    daemon.take_ceased(address, message)


@take.register(peering.RelayRead)
@take.register(peering.RelayCommit)
def relay(message, daemon, address):
    """A process that the store does not answer wants a call made."""
    daemon.relay(address, message)


@take.register(peering.RelayedItem)
@take.register(peering.RelayedRevision)
@take.register(peering.RelayedFailure)
def take_relayed(message, daemon, address):
    """A peer has made a call to the store."""
    daemon.take_relayed(message)


@take.register
def take_ask_state(message: peering.AskState, daemon, address):
    """A process asks for a job's state."""
    daemon.answer_state(address, message)


@take.register
def take_ask_waiting(message: peering.AskWaiting, daemon, address):
    """A process asks for a count."""
    daemon.answer_waiting(address, message)


@take.register(peering.StateIs)
@take.register(peering.WaitingIs)
def take_answer(message, daemon, address):
    """The owner answers."""
    daemon.take_answer(message)


@take.register
def take_advise(message: peering.Advise, daemon, address):
    """The owner wants advice."""
    tasks.spawn(daemon.advise(address, message), "advise")


@take.register
def take_advised(message: peering.Advised, daemon, address):
    """Advice has come."""
    daemon.take_advised(message)


def spread_claim(process):
    """Choose how long a process waits before it claims.

    Args:
      process: A settings.Process.
    Returns:
      A float, seconds: less for a VM with more processor.
    """
    share = xxhash.xxh3_64_intdigest(process.name.encode()) % 1000 / 1000
    cores = process.cpu_share * process.cores
    lack = max(0.0, 1.0 - cores / ownership.LARGE_CORES)
    return share * ownership.CLAIM_SPREAD_S + lack * ownership.SMALL_WAIT_S


def describe(settings):
    """The settings that a start logs, as a dict for the log alone."""
    return {
        "hall": settings.process.hall,
        "jobs": settings.listen.jobs,
        "store": settings.services.store,
    }
