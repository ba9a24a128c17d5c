"""Dispatches the messages of peers to the parts of an entry."""

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
    """Handle a message.

    Args:
      message: A message of one of the types of CODEC.
      entry: A daemon.Entry.
      sender_id: A str, the member id of the sender's incarnation.
      address: A str, where answers go.
    """
    raise TypeError(f"unsupported message from a peer: {message!r}")


@take.register
def take_beat(message: guard.Beat, entry, sender_id, address):
    """Answer a heartbeat."""
    entry.node.take_beat(sender_id, address, message)


@take.register
def take_ack(message: guard.Ack, entry, sender_id, address):
    """Process the answer to a heartbeat."""
    entry.node.take_ack(sender_id, address, message)


@take.register
def take_want(message: relay.Want, entry, sender_id, address):
    """Send the newest state of a topic."""
    entry.node.take_want(sender_id, address, message)


@take.register
def take_have(message: relay.Have, entry, sender_id, address):
    """Store the newest state of a topic."""
    entry.node.take_have(message)


@take.register
def take_demand(message: loans.Demand, entry, sender_id, address):
    """Lend slots to the sender."""
    entry.sharing.take_demand(sender_id, message)


@take.register
def take_grants(message: loans.Grants, entry, sender_id, address):
    """Apply the slots that the sender grants."""
    entry.sharing.take_grants(sender_id, message)


@take.register
def take_takeover(message: loans.Takeover, entry, sender_id, address):
    """Hand over backend servers to their new home."""
    entry.sharing.take_takeover(sender_id, message)


@take.register
def take_handoff(message: loans.Handoff, entry, sender_id, address):
    """Take over backend servers from their former home."""
    entry.sharing.take_handoff(sender_id, message)


@take.register
def take_news(message: loans.BackendNews, entry, sender_id, address):
    """Mark a backend server as leaving."""
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
    """Record the outcome of a request."""
    entry.keys.holder.take_done(message)


@take.register
def take_release(message: once.Release, entry, sender_id, address):
    """Remove a claim."""
    entry.keys.holder.take_release(message)


@take.register
def take_ask(message: once.AskRecords, entry, sender_id, address):
    """Send a member the records that it should hold."""
    entry.keys.take_ask(sender_id, message)


@take.register
def take_records(message: once.Records, entry, sender_id, address):
    """Store records from another member."""
    entry.keys.take_records(sender_id, message)
