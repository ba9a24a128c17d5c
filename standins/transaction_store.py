"""A stand-in for the platform's store, pure: time comes in.

Keys with revisions, transactions with conditions, leases, and a history of
changes that can be forgotten.
"""

import bisect
import itertools

import msgspec

PAGE_ITEMS = 500


class Stored(msgspec.Struct):
    """A key as it is."""

    key: str
    value: str
    rev: int
    made: int
    lease: int = 0


class Event(msgspec.Struct, omit_defaults=True):
    """A change of a key."""

    key: str
    rev: int
    value: str = ""
    gone: bool = False


class TransactionStore:
    """The keys, leases and history."""

    def __init__(self):
        self.revision = 1
        self.by_key = {}
        self.deadline_by_lease = {}
        self._ttl_by_lease = {}
        self._events = []
        self._forgotten_to = 0
        self._lease_ids = itertools.count(1000)

    def expire(self, now):
        """Let leases run out that are due."""
        due = [lease for lease, at in self.deadline_by_lease.items() if at <= now]
        for lease in due:
            self.end_lease(lease)

    def grant_lease(self, ttl_ms, now):
        """Grant a lease; returns its id."""
        lease = next(self._lease_ids)
        self._ttl_by_lease[lease] = ttl_ms
        self.deadline_by_lease[lease] = now + ttl_ms / 1000
        return lease

    def renew_lease(self, lease, now):
        """Renew a lease; returns its time, or None when it is over."""
        if lease not in self.deadline_by_lease:
            return None
        ttl_ms = self._ttl_by_lease[lease]
        self.deadline_by_lease[lease] = now + ttl_ms / 1000
        return ttl_ms

    def end_lease(self, lease):
        """End a lease: its keys go."""
        self.deadline_by_lease.pop(lease, None)
        keys = [item.key for item in self.by_key.values() if item.lease == lease]
        if keys:
            self.revision += 1
        for key in keys:
            self._remove(key)

    def end_all_leases(self):
        """End every lease at once, whoever renews it."""
        for lease in list(self.deadline_by_lease):
            self.end_lease(lease)

    def commit(self, conditions, puts, removes):
        """Apply a transaction.

        Args:
          conditions: Pairs of key and revision.
          puts: Triples of key, value and lease.
          removes: Keys.
        Returns:
          The revision, or None when a condition fails or a lease is over.
        """
        for key, revision in conditions:
            item = self.by_key.get(key)
            if (item.rev if item else 0) != revision:
                return None
        if any(lease and lease not in self.deadline_by_lease for _, _, lease in puts):
            return None
        self.revision += 1
        for key, value, lease in puts:
            old = self.by_key.get(key)
            made = old.made if old else self.revision
            self.by_key[key] = Stored(key, value, self.revision, made, lease)
            self._events.append(Event(key, self.revision, value))
        for key in removes:
            if key in self.by_key:
                self._remove(key)
        return self.revision

    def _remove(self, key):
        del self.by_key[key]
        self._events.append(Event(key, self.revision, gone=True))

    def read_page(self, prefix, after):
        """Read a page; returns the items and whether there are more."""
        keys = sorted(k for k in self.by_key if k.startswith(prefix) and k > after)
        page = [self.by_key[key] for key in keys[:PAGE_ITEMS]]
        return page, len(keys) > PAGE_ITEMS

    def list_events(self, prefix, after):
        """The events after a revision, or None when history is gone."""
        if after < self._forgotten_to:
            return None
        first = bisect.bisect_right(self._events, after, key=lambda event: event.rev)
        return [e for e in self._events[first:] if e.key.startswith(prefix)]

    def forget_history(self):
        """Forget all events."""
        self._forgotten_to = self.revision
        self._events.clear()
