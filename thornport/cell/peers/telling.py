"""Telling the other processes of a cell of jobs that this one keeps.

The watch of the owner finds each job in the store some tenths of a second later;
word of it lets the owner start sooner. A message that is lost is not sent again.
"""

from thornport.cell.peers import peering
from thornport.jobs import intake


class PeerTelling(intake.Telling):
    """Tells the owner, which may be this process, and the peers."""

    def __init__(self, reactor, daemon):
        """Take what is needed.

        Args:
          reactor: Twisted's reactor.
          daemon: The daemon.SchedulerDaemon, which knows the peers and the owner.
        """
        self._reactor = reactor
        self._daemon = daemon

    def tell_unresolved(self, job_id):
        """Tell all peers of a job that may be kept, so that none refuses it.

        Args:
          job_id: A str.
        """
        for address in self._daemon.peers.addresses:
            self._daemon.bus.send(address, "", peering.Unresolved(job_id))

    def tell_incoming(self, value):
        """Tell the owner of a job that is being kept.

        Args:
          value: Bytes, its record encoded.
        """
        if self._daemon.get_core() is not None:
            self._daemon.session.take_incoming(value)
        else:
            self._send_to_owner(peering.Incoming(value))

    def tell_kept(self, job_id, is_cancel=False):
        """Tell the owner that a job, or its cancel, is kept.

        Args:
          job_id: A str.
          is_cancel: A bool.
        """
        if self._daemon.get_core() is not None:
            self._daemon.session.take_kept_by_peer(job_id, is_cancel)
        else:
            self._send_to_owner(peering.Kept(job_id, is_cancel))

    def _send_to_owner(self, message):
        address = self._daemon.owner_address
        if address is not None:
            self._daemon.bus.send(address, "", message)
