"""Notices to the other processes of a cell about jobs that this process persists.

The owner's watch finds each job in the store some tenths of a second later. A notice
lets the owner start it sooner, and is not resent if it is lost. A notice of a
cancellation is resent: a watch that falls silent is renewed only after 2.8 s, and
running tasks must be stopped within 3 s.
"""

from thornport.cell.peers import peering
from thornport.jobs import intake, record
from thornport.kernel import tasks

# Between notices of a cancellation, which an owner persists well within this time.
RESEND_PERIOD_S = 0.3
# After this many notices a successor has read the cancellation from the store, or all
# leases that the earlier owner granted are over.
MAX_SENDS = 30
FINAL_STATES = frozenset(state.value for state in record.FINAL_STATES)


class PeerNotifier(intake.Notifier):
    """Notifies the peers and the owner, which may be this process."""

    def __init__(self, reactor, daemon):
        """Set up without sending anything yet.

        Args:
          reactor: Twisted's reactor.
          daemon: The daemon.SchedulerDaemon, which knows the peers and the owner.
        """
        self._reactor = reactor
        self._daemon = daemon

    def notify_unresolved(self, job_id):
        """Notify all peers of a job that may be persisted, so that none refuses it.

        Args:
          job_id: A str.
        """
        addresses = self._daemon.peers.addresses
        self._daemon.bus.send_to_all(addresses, peering.Unresolved(job_id))

    def notify_incoming(self, value):
        """Notify the owner of a job that is being persisted.

        Args:
          value: Bytes, the encoded record of the job.
        """
        if self._daemon.get_core() is not None:
            self._daemon.session.take_incoming(value)
        else:
            self._send_to_owner(peering.Incoming(value))

    def notify_persisted(self, job_id, is_cancel=False, workspace_name=None):
        """Notify the owner that a job, or its cancellation, is persisted.

        Args:
          job_id: A str.
          is_cancel: A bool, whether the cancellation is persisted.
          workspace_name: A str, whose the job is; None for a cancellation.
        """
        if is_cancel:
            tasks.spawn(self._notify_cancel(job_id), "notify-cancel")
        else:
            self._notify_once(peering.Kept(job_id, workspace=workspace_name))

    async def _notify_cancel(self, job_id):
        """Notify the current owner of a cancellation until it reports a final state."""
        for _ in range(MAX_SENDS):
            self._notify_once(peering.Kept(job_id, is_cancel=True))
            await tasks.sleep(self._reactor, RESEND_PERIOD_S)
            if await self._read_state(job_id) in FINAL_STATES:
                return

    async def _read_state(self, job_id):
        """Read the job state that the owner reports, a str; empty if there is none."""
        core = self._daemon.get_core()
        if core is None:
            address = self._daemon.owner_address or ""
            return await self._daemon.asker.ask_state(address, job_id)
        state = core.read_state(job_id)
        return state.value if state is not None else ""

    def _notify_once(self, message):
        if self._daemon.get_core() is not None:
            self._daemon.session.take_persisted_by_peer(message)
        else:
            self._send_to_owner(message)

    def _send_to_owner(self, message):
        address = self._daemon.owner_address
        if address is not None:
            self._daemon.bus.send(address, "", message)
