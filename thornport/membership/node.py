"""A process as a member of a ring: joins, sends heartbeats, removes others, leaves.

This module does the I/O: it passes messages and time between the guard, the bus and
the store, and notifies the rest of the process by callbacks.
"""

import time

import msgspec
from returns import result

from thornport.kernel import clock, ids, logs, tasks
from thornport.membership import guard, record, relay
from thornport.once import messages as once_messages
from thornport.settings import editing, tree
from thornport.store import port

WATCHER_COUNT = 2
WATCH_WAIT_S = 30.0
FALLBACK_READ_S = 30.0
STORE_RETRY_S = 0.5
RETENTION_MS = int(once_messages.MAX_KEY_LIFE_S * clock.MS_PER_S)


class Node:
    """The membership of one process.

    Attributes:
      guard: The guard.Guard of the current incarnation; None before `start`.
      in_force: An inforce.InForce.
      on_ring: A callable of a record.Ring and a time, called for each newer ring.
      on_settings: A callable, called when newer settings are in force.
      on_new_incarnation: A callable of the member id, called for each incarnation.
    """

    def __init__(self, reactor, settings, store, bus, in_force, ring_name):
        """Create a node that has not started.

        Args:
          reactor: Twisted's reactor.
          settings: A procconf.ProcessSettings.
          store: A store client.
          bus: A bus.Bus, bound.
          in_force: An inforce.InForce.
          ring_name: A str, the name of the ring within the region.
        """
        self._reactor = reactor
        self._settings = settings
        self._store = store
        self._bus = bus
        self._ring_key = (
            f"{record.RING_KEY_PREFIX}{settings.process.region}/{ring_name}"
        )
        self._is_leaving = False
        self._http = ""
        self._joining = None
        self._removing = None
        self._vms = frozenset()
        self._missing_since_by_vm = {}
        self.in_force = in_force
        self.guard = None
        self.on_ring = lambda ring, now: None
        self.on_settings = lambda: None
        self.on_new_incarnation = lambda member_id: None

    @property
    def ring(self):
        """The newest ring known here."""
        return self.guard.ring

    def may_act(self, now):
        """Check whether this process is certainly still in the ring."""
        return self.guard.may_act(now)

    def start(self, http):
        """Start the first incarnation, heartbeats and watches.

        Args:
          http: A str, `IP:PORT` of this process's HTTP interface.
        """
        self._http = http
        self._start_incarnation(record.NO_RING)
        beat_s = self._settings.peers.beat_s
        tasks.call_periodically(self._reactor, beat_s, self._beat, "beat")
        tasks.spawn(self._watch(editing.HEAD_KEY, self._take_settings), "watch")
        tasks.spawn(self._watch(self._ring_key, self._take_ring_data), "watch")

    def _start_incarnation(self, ring):
        process = self._settings.process
        member_id = f"{process.name}.{ids.make_incarnation()}"
        me = record.Member(
            member_id, self._bus.address, self._http, process.vm, process.hall
        )
        self.guard = guard.Guard(me, self._settings.peers.lease_s)
        self._bus.set_member_id(member_id)
        self.on_new_incarnation(member_id)
        logs.log("incarnation-started", member=member_id)
        if ring.epoch:
            self._take_ring(ring)

    def _take_ring(self, ring, read_at=None):
        now = clock.read_monotonic()
        if not self.guard.take_ring(ring, now, read_at):
            return
        logs.log("ring", epoch=ring.epoch, members=len(ring.members))
        if self.guard.was_removed() and not self._is_leaving:
            logs.log("removed-from-ring", member=self.guard.me.member_id)
            self._start_incarnation(ring)
            return
        self._bus.close_others({member.address for member in ring.members})
        self.on_ring(ring, now)

    def _take_ring_data(self, data, read_at=None):
        try:
            self._take_ring(record.decode_ring(data), read_at)
        except record.RingError as error:
            logs.log("ring-unreadable", reason=str(error))

    def _take_settings(self, data, read_at=None):
        try:
            if self.in_force.offer(data):
                logs.log("settings-in-force", revision=self.in_force.revision)
                self.on_settings()
        except tree.TreeError as error:
            logs.log("settings-unreadable", reason=str(error))

    def _is_watcher(self):
        """Check whether this process watches the store for the other members."""
        ranked = ids.rank_by_rendezvous("watchers", self.ring.member_ids)
        me = self.guard.me.member_id
        return not self.guard.is_member or me in ranked[:WATCHER_COUNT]

    async def _watch(self, key, take):
        """Read a key forever: by watches, or infrequently if other members watch it."""
        index = port.ABSENT_INDEX - 1
        while True:
            wait_s = WATCH_WAIT_S if index >= 0 else 0.0
            read_at = clock.read_monotonic()
            read = await self._store.watch(key, index, wait_s)
            if isinstance(read, result.Failure):
                logs.log("store-unavailable", reason=read.failure().reason)
                await tasks.sleep(self._reactor, STORE_RETRY_S)
                continue
            item = read.unwrap()
            changed = item.index != index
            index = item.index
            # A watch may block for long, so the value counts as read at its start.
            take(item.value, read_at)
            if not changed and not self._is_watcher():
                await tasks.sleep(self._reactor, FALLBACK_READ_S)

    def list_peers(self):
        """List the addresses for heartbeats: members, and seeds while not a member.

        Returns:
          A dict from address to member id, which is empty where unknown.
        """
        me = self._bus.address
        peers = {m.address: m.member_id for m in self.ring.members if m.address != me}
        if not self.guard.is_member:
            for seed in self._settings.peers.seeds.split(","):
                if seed.strip() and seed.strip() != me:
                    peers.setdefault(seed.strip(), "")
        return peers

    def take_vms(self, vms):
        """Record which VMs the platform lists, and since when others are missing.

        Args:
          vms: A set of str.
        """
        now = clock.read_monotonic()
        self._vms = frozenset(vms)
        for member in self.ring.members:
            if member.vm in vms:
                self._missing_since_by_vm.pop(member.vm, None)
            else:
                self._missing_since_by_vm.setdefault(member.vm, now)

    def _list_members_without_vm(self, now):
        """List the members whose VMs the platform has certainly removed.

        If a whole ring is replaced at once, no successor is left to remove its
        members, so they are removed by the platform's list of VMs, although it lags.
        The list is not used unless this process's own VM is on it.
        """
        if self._settings.process.vm not in self._vms:
            return []
        gone_after_s = self._settings.peers.vm_gone_s
        return [
            member.member_id
            for member in self.ring.members
            if now >= self._missing_since_by_vm.get(member.vm, now) + gone_after_s
        ]

    def _beat(self):
        now = clock.read_monotonic()
        beat = self.guard.make_beat(self.in_force.revision, now)
        for address, member_id in self.list_peers().items():
            self._bus.send(address, member_id, beat)
        if not self.guard.is_member and not self._is_leaving:
            self._start_join()
        elif gone := self._list_members_without_vm(now):
            self._start_removal_without_vm(gone)
        elif not self.guard.may_act(now) or self.guard.is_removal_due(now):
            self._start_review()

    def _start_join(self):
        if self._joining is None or self._joining.called:
            self._joining = tasks.spawn(self._join(), "join")

    async def _join(self):
        me = self.guard.me

        def add(ring):
            if me.member_id in ring.member_ids:
                return None
            return record.add_member(ring, me, read_wall_ms(), RETENTION_MS)

        read_at = clock.read_monotonic()
        joined = await record.update_ring(self._store, self._ring_key, add)
        if isinstance(joined, result.Success):
            self._take_ring(joined.unwrap(), read_at)

    def _start_review(self):
        if self._removing is None or self._removing.called:
            self._removing = tasks.spawn(self._review(), "review-ring")

    async def _review(self):
        """Read the ring, which proves this member's membership, and remove a silent
        predecessor if that is due."""
        read_at = clock.read_monotonic()
        read = await self._store.get(self._ring_key)
        if isinstance(read, result.Failure):
            return
        self._take_ring_data(read.unwrap().value, read_at)
        silent = self.guard.start_removal(clock.read_monotonic())
        if silent is None or not self.guard.is_member:
            return
        epoch = self.ring.epoch
        logs.log("remove-member", member=silent.member_id, epoch=epoch)

        def remove(ring):
            if ring.epoch != epoch:
                return None
            return record.remove_member(
                ring, silent.member_id, False, read_wall_ms(), RETENTION_MS
            )

        changed = await record.update_ring(self._store, self._ring_key, remove)
        if isinstance(changed, result.Success):
            self._take_ring(changed.unwrap())

    def _start_removal_without_vm(self, member_ids):
        if self._removing is None or self._removing.called:
            self._removing = tasks.spawn(
                self._remove_without_vm(member_ids), "drop-gone"
            )

    async def _remove_without_vm(self, member_ids):
        """Remove members whose VMs the platform has removed."""
        logs.log("remove-gone", members=len(member_ids))

        def remove(ring):
            for member_id in member_ids:
                if member_id in ring.member_ids:
                    ring = record.remove_member(
                        ring, member_id, False, read_wall_ms(), RETENTION_MS
                    )
            return ring

        changed = await record.update_ring(self._store, self._ring_key, remove)
        if isinstance(changed, result.Success):
            self._take_ring(changed.unwrap())

    async def leave(self):
        """Leave the ring; the other members then ask for what this one holds.

        Returns:
          A bool, whether the store has confirmed it.
        """
        self._is_leaving = True
        member_id = self.guard.me.member_id

        def remove(ring):
            if member_id not in ring.member_ids:
                return None
            return record.remove_member(
                ring, member_id, True, read_wall_ms(), RETENTION_MS
            )

        left = await record.update_ring(self._store, self._ring_key, remove)
        if isinstance(left, result.Failure):
            return False
        self._take_ring(left.unwrap())
        return True

    async def announce_gone(self):
        """Record in the ring that this member holds nothing and won't answer."""
        member_id = self.guard.me.member_id

        def mark(ring):
            return record.mark_gone(ring, member_id, read_wall_ms(), RETENTION_MS)

        await record.update_ring(self._store, self._ring_key, mark)

    def take_beat(self, sender_id, address, beat):
        """Acknowledge a heartbeat, and request what the sender has newer."""
        revision = self.in_force.revision
        now = clock.read_monotonic()
        ack = self.guard.take_beat(sender_id, beat, revision, now)
        self._bus.send(address, sender_id, ack)
        self._ask_for_newer(sender_id, address, beat)

    def take_ack(self, sender_id, address, ack):
        """Process an acknowledgement, and request what the sender has newer."""
        self.guard.take_ack(sender_id, ack, clock.read_monotonic())
        self._ask_for_newer(sender_id, address, ack)

    def _ask_for_newer(self, sender_id, address, received):
        if received.epoch > self.ring.epoch:
            self._bus.send(address, sender_id, relay.Want(relay.Topic.RING))
        if received.revision > self.in_force.revision:
            self._bus.send(address, sender_id, relay.Want(relay.Topic.SETTINGS))

    def take_want(self, sender_id, address, want):
        """Send the newest data of the requested topic."""
        if want.topic is relay.Topic.RING:
            data = record.encode_ring(self.ring)
        else:
            data = self.in_force.encoded
        if data:
            self._bus.send(address, sender_id, relay.Have(want.topic, data))

    def take_have(self, have):
        """Adopt the newer ring or settings that another process sent."""
        if have.topic is relay.Topic.RING:
            self._take_ring_data(have.data)
        else:
            self._take_settings(have.data)

    def send(self, member_id, message):
        """Send a message to a member, or to one that left recently.

        Args:
          member_id: A str.
          message: A struct.
        """
        address = self.find_address(member_id)
        if address:
            self._bus.send(address, member_id, message)

    def find_address(self, member_id):
        """Find the address of a member, or of one in a past ring.

        Returns:
          A str, empty if unknown.
        """
        member = record.find_member(self.ring, member_id)
        if member is None:
            past = (m for p in reversed(self.ring.past) for m in p.members)
            member = next((m for m in past if m.member_id == member_id), None)
        return member.address if member else ""

    def describe(self):
        """Describe the membership for operators, as a dict."""
        now = clock.read_monotonic()
        return {
            "member": self.guard.me.member_id,
            "epoch": self.ring.epoch,
            "members": [msgspec.to_builtins(m) for m in self.ring.members],
            "may_act": self.guard.may_act(now),
        }


def read_wall_ms():
    """Read the wall clock, used only to expire past rings and lost members.

    Returns:
      An int, milliseconds.
    """
    return int(time.time() * clock.MS_PER_S)
