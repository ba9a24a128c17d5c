"""What an entry does with each message of its peers."""

import functools

from thornport.kernel import codec
from thornport.membership import guard, relay
from thornport.once import messages as once
from thornport.routing import loans

CODEC = codec.Codec(
    guard.Beat
    | guard.Ack
    | relay.Want
    | relay.Have
    | loans.Demand
    | loans.Grants
    | loans.Takeover
    | loans.Handoff
    | loans.BackendNews
    | once.Claim
    | once.Voted
    | once.Done
    | once.Release
    | once.AskRecords
    | once.Records
)


@functools.singledispatch
def take(message, entry, sender_id, address):
    """Act on a message.

    Args:
      message: A message of one of the types of CODEC.
      entry: A daemon.Entry.
      sender_id: A str, the sender's life.
      address: A str, where to answer to.
    """
    raise TypeError(f"no way to take {message!r}")


@take.register
def take_beat(message: guard.Beat, entry, sender_id, address):
    """Answer a heartbeat."""
    entry.node.take_beat(sender_id, address, message)


@take.register
def take_ack(message: guard.Ack, entry, sender_id, address):
    """Take the answer to a heartbeat."""
    entry.node.take_ack(sender_id, address, message)


@take.register
def take_want(message: relay.Want, entry, sender_id, address):
    """Hand over the newest of a topic."""
    entry.node.take_want(sender_id, address, message)


@take.register
def take_have(message: relay.Have, entry, sender_id, address):
    """Take the newest of a topic."""
    entry.node.take_have(message)


@take.register
def take_demand(message: loans.Demand, entry, sender_id, address):
    """Lend slots."""
    entry.sharing.take_demand(sender_id, message)


@take.register
def take_grants(message: loans.Grants, entry, sender_id, address):
    """Borrow slots."""
    entry.sharing.take_grants(sender_id, message)


@take.register
def take_takeover(message: loans.Takeover, entry, sender_id, address):
    """Hand over backend servers to their new home."""
    entry.sharing.take_takeover(sender_id, message)


@take.register
def take_handoff(message: loans.Handoff, entry, sender_id, address):
    """Take over backend servers."""
    entry.sharing.take_handoff(sender_id, message)


@take.register
def take_news(message: loans.BackendNews, entry, sender_id, address):
    """Believe that a backend server is leaving."""
    entry.mark_leaving(message.backend, is_from_peer=True)


@take.register
def take_claim(message: once.Claim, entry, sender_id, address):
    """Vote on a claim."""
    entry.keys.take_claim(sender_id, message)


@take.register
def take_voted(message: once.Voted, entry, sender_id, address):
    """Count a vote."""
    entry.keys.take_voted(sender_id, message)


@take.register
def take_done(message: once.Done, entry, sender_id, address):
    """Keep the end of a request."""
    entry.keys.holder.take_done(message)


@take.register
def take_release(message: once.Release, entry, sender_id, address):
    """Forget a claim."""
    entry.keys.holder.take_release(message)


@take.register
def take_ask(message: once.AskRecords, entry, sender_id, address):
    """Give a member its records."""
    entry.keys.take_ask(sender_id, message)


@take.register
def take_records(message: once.Records, entry, sender_id, address):
    """Take records."""
    entry.keys.take_records(sender_id, message)
