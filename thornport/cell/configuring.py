"""Follows the configuration of the cell and checks callers against it.

A watch of the store delivers each new version. When the store refuses the process or
the watch falls silent, the process reads the newest version through a peer: a revoked
key must be refused here too, and a new key, queue or limit must take effect.
"""

import enum

from returns import result

from thornport.cell.peers import relaying
from thornport.jobs import queue, workspace
from thornport.kernel import clock, logs, tasks
from thornport.store import transactions, watching

# A configuration that was not confirmed for this long may be out of date: a watch waits
# for 2 s and is answered within 0.6 s more.
MAX_CONFIRMED_AGE_S = 3.0
# Between reads through a peer while the watch delivers nothing, well below the 2 s in
# which a version must be in force.
REFRESH_PERIOD_S = 0.5
# A process reads through a peer after this long without an answer to the watch, even if
# the store answers other calls: the watch is stuck, or its answers are lost.
WATCH_SILENT_S = 2.5


class Denial(enum.Enum):
    """Why a caller is denied.

    UNKNOWN: no workspace of the configuration in force has the caller's key.
    UNCONFIRMED: likewise, but the configuration may be out of date.
    """

    UNKNOWN = "unknown"
    UNCONFIRMED = "unconfirmed"


class Configuring:
    """Follows the configuration and identifies callers by it.

    Attributes:
      config: The queue.Config in force; None before the first.
    """

    def __init__(self, reactor, ports, relayed, on_new):
        """Create a follower; nothing is read before `start`.

        Args:
          reactor: Twisted's reactor.
          ports: A ports.Ports.
          relayed: A relaying.RelayedStore.
          on_new: A callable of a queue.Config, called with each new version.
        """
        self._reactor = reactor
        self._ports = ports
        self._relayed = relayed
        self._on_new = on_new
        self.config = None
        self._follower = None
        self._relayed_at = None
        self._is_reading = False
        self._is_watch_ok = True
        # The store's revision up to which a peer or the last value covers all changes.
        self._known_revision = transactions.ABSENT_REVISION

    def start(self):
        """Start the watch and the reads through peers."""
        self._follower = watching.follow_key(
            self._reactor, self._ports.store, self._ports.config_key, self._apply
        )
        self._relayed.on_late = self._apply_late
        tasks.call_periodically(
            self._reactor, REFRESH_PERIOD_S, self._refresh, "refresh-config"
        )

    def _apply(self, value, revision):
        if value is None:
            return
        self._known_revision = max(self._known_revision, revision)
        try:
            config = self._ports.decode_config(value)
        except self._ports.decode_errors as error:
            logs.log("config-undecodable", revision=revision, reason=str(error))
            return
        if self.config is not None and config.version <= self.config.version:
            return
        self.config = config
        named = config.workspaces.by_name if config.workspaces else ()
        logs.log(
            "config-in-force",
            version=config.version,
            queues=len(config.queues),
            workspaces=len(named),
            revision=revision,
        )
        for bad in config.workspaces.bad if config.workspaces else ():
            logs.log(
                "workspace-left-out",
                version=config.version,
                place=bad.place,
                reason=bad.reason,
            )
        self._on_new(config)

    # Reads through a peer.

    def _refresh(self):
        """Read through a peer if the watch is silent or the store is unavailable.

        Nothing is read while an answer of the store is being received: over a slow link
        each further copy of a large configuration delays the others. The same holds
        while a broken watch is retried, unless the store is unavailable.
        """
        if self._is_reading or self._follower.is_receiving():
            return
        is_unavailable = self._ports.store.is_unavailable()
        if self._follower.is_retrying() and not is_unavailable:
            return
        age_s = self._follower.read_age_s()
        is_watch_ok = age_s is not None and age_s < WATCH_SILENT_S
        if is_watch_ok and not is_unavailable:
            self._note_watch(True)
            return
        self._note_watch(False)
        self._is_reading = True
        tasks.spawn(self._read_through_peer(), "read-config")

    def _note_watch(self, is_watch_ok):
        """Log when the watch of the configuration falls silent or works again."""
        if is_watch_ok == self._is_watch_ok:
            return
        self._is_watch_ok = is_watch_ok
        event = "config-watch-ok" if is_watch_ok else "config-watch-silent"
        logs.log(event, **self._describe())

    async def _read_through_peer(self):
        asked_at = clock.read_monotonic()
        try:
            read = await self._relayed.read_newest(
                self._ports.config_key,
                max(self._known_revision, self._follower.delivered_revision),
            )
        finally:
            self._is_reading = False
        if isinstance(read, result.Failure):
            return
        newest = read.unwrap()
        if isinstance(newest, relaying.Unchanged):
            self._relayed_at = asked_at
            self._known_revision = max(self._known_revision, newest.at)
        elif newest.revision != transactions.ABSENT_REVISION:
            self._relayed_at = asked_at
            self._apply(newest.value, newest.revision)

    def _apply_late(self, item):
        """Apply a late answer of a peer; it does not confirm the configuration."""
        is_ours = item.key == self._ports.config_key
        if is_ours and item.revision != transactions.ABSENT_REVISION:
            self._apply(item.value, item.revision)

    # Checks of callers.

    def read_age_s(self):
        """Return how long ago the store or a peer confirmed the configuration.

        Returns:
          A float, seconds; None before the first confirmation.
        """
        ages = []
        if self._follower is not None and self._follower.read_age_s() is not None:
            ages.append(self._follower.read_age_s())
        if self._relayed_at is not None:
            ages.append(clock.read_monotonic() - self._relayed_at)
        return min(ages, default=None)

    def is_confirmed(self):
        """Whether the configuration was confirmed within MAX_CONFIRMED_AGE_S.

        False while an answer is being received, since it holds a newer version.
        """
        if self._follower is not None and self._follower.is_receiving():
            return False
        age_s = self.read_age_s()
        return age_s is not None and age_s < MAX_CONFIRMED_AGE_S

    def find_queue(self, host, path):
        """Find the queue of a request.

        Args:
          host: A str, without a port.
          path: A str.
        Returns:
          A queue.Queue; None when the configuration in force has none, which is
          logged with the configuration's version and the age of its confirmation.
        """
        found = queue.find_queue(self.config, host, path)
        if found is None:
            logs.log("queue-not-found", host=host, path=path, **self._describe())
        return found

    def identify(self, called, key):
        """Identify the caller of a request.

        Args:
          called: The queue.Queue of the request.
          key: Bytes, the key of the request; None without one.
        Returns:
          A Result of a workspace.Caller; its failure is a Denial, which is logged with
          the configuration's version and the age of its confirmation, but without the
          key.
        """
        known = self.config.workspaces
        if known is None:
            return result.Success(workspace.Caller(sees_all=True))
        if called.is_public:
            return result.Success(workspace.Caller(queue=called.name))
        found = known.find_by_key(key) if key else None
        if found is not None:
            return result.Success(workspace.Caller(found.name))
        denial = Denial.UNKNOWN if self.is_confirmed() else Denial.UNCONFIRMED
        logs.log(
            "caller-denied",
            queue=called.name,
            why=denial.value,
            has_key=bool(key),
            **self._describe(),
        )
        return result.Failure(denial)

    def _describe(self):
        """Return the log fields that describe the configuration, as a dict."""
        age_s = self.read_age_s()
        confirmed_ms = None if age_s is None else int(age_s * clock.MS_PER_S)
        version = None if self.config is None else self.config.version
        return {"version": version, "confirmed_ms": confirmed_ms}
