"""Telling the other processes of a cell of jobs that this one keeps.

The watch of the owner finds each job in the store some tenths of a second later;
word of it lets the owner start sooner, and is not sent again when it is lost. Word of a
cancel is: a watch that falls silent is asked again after 2.8 s only, and what runs has
to be stopped within 3 s.
"""

from thornport.cell.peers import peering
from thornport.jobs import intake, record
from thornport.kernel import tasks

TELL_AGAIN_S = 0.3  # between words of a cancel; an owner keeps it well within
# After so many a successor has read the cancel from the store, or every
# lease that the earlier owner granted is over.
MAX_TELLS = 30
FINAL_STATES = frozenset(state.value for state in record.FINAL_STATES)


class PeerTelling(intake.Notifier):
    """Tells the owner, which may be this process, and the peers."""

    def __init__(self, reactor, daemon):
        """Take what is needed.

        Args:
          reactor: Twisted's reactor.
          daemon: The daemon.SchedulerDaemon, which knows the peers and the owner.
        """
        self._reactor = reactor
        self._daemon = daemon

    def notify_unresolved(self, job_id):
        """Tell all peers of a job that may be kept, so that none refuses it.

        Args:
          job_id: A str.
        """
        addresses = self._daemon.peers.addresses
        self._daemon.bus.send_to_all(addresses, peering.Unresolved(job_id))

    def notify_incoming(self, value):
        """Tell the owner of a job that is being kept.

        Args:
          value: Bytes, its record encoded.
        """
        if self._daemon.get_core() is not None:
            self._daemon.session.take_incoming(value)
        else:
            self._send_to_owner(peering.Incoming(value))

    def notify_persisted(self, job_id, is_cancel=False):
        """Tell the owner that a job, or its cancel, is kept.

        Args:
          job_id: A str.
          is_cancel: A bool.
        """
        if is_cancel:
            tasks.spawn(self._tell_cancel(job_id), "tell-cancel")
        else:
            self._tell_once(job_id, is_cancel)

    async def _tell_cancel(self, job_id):
        """Tell whoever owns the cell of a cancel until it shows the job as over."""
        for _ in range(MAX_TELLS):
            self._tell_once(job_id, is_cancel=True)
            await tasks.sleep(self._reactor, TELL_AGAIN_S)
            if await self._read_state(job_id) in FINAL_STATES:
                return

    async def _read_state(self, job_id):
        """Read the state that the owner shows, a str; empty when there is none."""
        core = self._daemon.get_core()
        if core is None:
            address = self._daemon.owner_address or ""
            return await self._daemon.asker.ask_state(address, job_id)
        state = core.read_state(job_id)
        return state.value if state is not None else ""

    def _tell_once(self, job_id, is_cancel):
        if self._daemon.get_core() is not None:
            self._daemon.session.take_persisted_by_peer(job_id, is_cancel)
        else:
            self._send_to_owner(peering.Kept(job_id, is_cancel))

    def _send_to_owner(self, message):
        address = self._daemon.owner_address
        if address is not None:
            self._daemon.bus.send(address, "", message)
