"""The configuration in force at a process, and what callers are checked against.

The store tells each new version by a watch. A process that it does not tell, because it
turns the process away or because the watch fell silent, reads the newest by way of a
peer: a key that was taken away must let nobody in there either, and a key, a queue or a
limit that came must count.
"""

import enum

from returns import result

from thornport.cell.peers import relaying
from thornport.jobs import queue, workspace
from thornport.kernel import clock, logs, tasks
from thornport.store import transactions, watching

# A configuration of which nothing was told for so long may be out of date: a watch
# waits for 2 s and is answered within 0.6 s more.
MAX_CONFIRMED_AGE_S = 3.0
# Between reads by way of a peer while the store does not tell, well below the 2 s in
# which a version is to be in force.
REFRESH_PERIOD_S = 0.5
# After so long without word of the store a process reads by way of a peer, also when
# other calls are answered: the watch has fallen silent, or its answers are lost.
WATCH_SILENT_S = 2.5


class Denial(enum.Enum):
    """Why a caller is not let in.

    UNKNOWN: its key is in no workspace of the configuration in force.
    UNCONFIRMED: likewise, but the configuration may be out of date.
    """

    UNKNOWN = "unknown"
    UNCONFIRMED = "unconfirmed"


class Configuring:
    """Follows the configuration.

    Attributes:
      config: The queue.Config in force, None before the first.
    """

    def __init__(self, reactor, ports, relayed, on_new):
        """Take what is needed; nothing is read yet.

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
        self._is_told = True
        # Of the store, until which a peer, or the value taken last, told of changes.
        self._known_to = transactions.ABSENT_REVISION

    def start(self):
        """Begin to follow the store."""
        self._follower = watching.follow_key(
            self._reactor, self._ports.store, self._ports.config_key, self._take
        )
        self._relayed.on_late = self._take_late
        tasks.call_periodically(
            self._reactor, REFRESH_PERIOD_S, self._refresh, "refresh-config"
        )

    def _take(self, value, revision):
        if value is None:
            return
        self._known_to = max(self._known_to, revision)
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

    # By way of a peer.

    def _refresh(self):
        """Read by way of a peer if the store does not tell us.

        While an answer of the store is coming nothing is read beside it: a large
        configuration over a slow link would come later for each copy of it. Nor while
        one that broke off is asked for again, unless the store turns us away.
        """
        if self._is_reading or self._follower.is_receiving():
            return
        is_unavailable = self._ports.store.is_unavailable()
        if self._follower.is_retrying() and not is_unavailable:
            return
        age_s = self._follower.read_age_s()
        is_told = age_s is not None and age_s < WATCH_SILENT_S
        if is_told and not is_unavailable:
            self._note_told(True)
            return
        self._note_told(False)
        self._is_reading = True
        tasks.spawn(self._read_by_peer(), "read-config")

    def _note_told(self, is_told):
        """Log when the store ceases, or begins again, to tell of the configuration."""
        if is_told == self._is_told:
            return
        self._is_told = is_told
        event = "config-told" if is_told else "config-not-told"
        logs.log(event, **self._describe())

    async def _read_by_peer(self):
        asked_at = clock.read_monotonic()
        try:
            read = await self._relayed.read_newest(
                self._ports.config_key,
                max(self._known_to, self._follower.delivered_revision),
            )
        finally:
            self._is_reading = False
        if isinstance(read, result.Failure):
            return
        told = read.unwrap()
        if isinstance(told, relaying.Unchanged):
            self._relayed_at = asked_at
            self._known_to = max(self._known_to, told.at)
        elif told.revision != transactions.ABSENT_REVISION:
            self._relayed_at = asked_at
            self._take(told.value, told.revision)

    def _take_late(self, item):
        """Take what a peer sent when it was given up; it confirms nothing."""
        is_ours = item.key == self._ports.config_key
        if is_ours and item.revision != transactions.ABSENT_REVISION:
            self._take(item.value, item.revision)

    # What callers are checked against.

    def read_age_s(self):
        """How long ago the configuration was confirmed, by the store or a peer.

        Returns:
          A float, seconds; None before it was told of at all.
        """
        ages = []
        if self._follower is not None and self._follower.read_age_s() is not None:
            ages.append(self._follower.read_age_s())
        if self._relayed_at is not None:
            ages.append(clock.read_monotonic() - self._relayed_at)
        return min(ages, default=None)

    def is_confirmed(self):
        """Whether the configuration was confirmed within MAX_CONFIRMED_AGE_S.

        It is not while an answer is coming, which holds a newer version.
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
          logged with its version and how long ago it was confirmed.
        """
        found = queue.find_queue(self.config, host, path)
        if found is None:
            logs.log("queue-not-found", host=host, path=path, **self._describe())
        return found

    def identify(self, called, key):
        """Find out for whom a request asks.

        Args:
          called: The queue.Queue that it is about.
          key: Bytes, the key that it carries; None without one.
        Returns:
          A Result of a workspace.Caller; its failure is a Denial, which is logged with
          the version and how long ago it was confirmed, and never with the key.
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
        """What a line about a check names of the configuration, for the log alone."""
        age_s = self.read_age_s()
        confirmed_ms = None if age_s is None else int(age_s * clock.MS_PER_S)
        version = None if self.config is None else self.config.version
        return {"version": version, "confirmed_ms": confirmed_ms}
