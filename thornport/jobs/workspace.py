"""Workspaces: the owners of jobs, with the keys of their callers and their limits.

A request identifies its workspace by a key; everything after that uses the name. Keys
are looked up by digests keyed with a secret of this process, so that neither a log nor
the duration of a lookup reveals how close a wrong key came.
"""

import hashlib
import os

import msgspec

from thornport.jobs import spec

# Stands for no limit: more than any cell has, and small enough for exact sums.
UNLIMITED = 2**50
DIGEST_BYTES = 16  # two of a million keys collide with a chance of one in 10**26
_SECRET = os.urandom(DIGEST_BYTES)


class Workspace(msgspec.Struct, frozen=True):
    """A workspace of a configuration.

    Attributes:
      name: A str.
      keys: The API keys of its callers.
      weight: Its share in jobs per second while the cell is full; 0 for none.
      limit: Demand, the most that it may have running in the whole cell; UNLIMITED
        for a resource without a limit.
    """

    name: str
    keys: tuple[str, ...] = ()
    weight: float = 0.0
    limit: spec.Demand = spec.Demand(UNLIMITED, UNLIMITED, UNLIMITED)


class BadWorkspace(msgspec.Struct, frozen=True):
    """A fault in a workspace of a configuration; the faulty part lets no caller in.

    Attributes:
      place: A str, where the fault is; never a key.
      reason: A str.
    """

    place: str
    reason: str


class Workspaces:
    """The workspaces of one version of the configuration.

    Attributes:
      by_name: The Workspaces by name.
      bad: A tuple of BadWorkspace, the faults.
    """

    __slots__ = ("_by_digest", "bad", "by_name")

    def __init__(self, workspaces, bad=()):
        """Index workspaces by name and key; a key of two workspaces is rejected.

        Args:
          workspaces: An iterable of Workspace; of two with one name the first is used.
          bad: An iterable of BadWorkspace, faults found before.
        """
        self.by_name = {}
        self._by_digest = {}
        faults = list(bad)
        shared = set()
        for workspace in workspaces:
            if workspace.name in self.by_name:
                faults.append(BadWorkspace(workspace.name, "duplicate workspace name"))
                continue
            self.by_name[workspace.name] = workspace
            for key in workspace.keys:
                digest = digest_key(key.encode())
                other = self._by_digest.setdefault(digest, workspace)
                if other is not workspace and digest not in shared:
                    shared.add(digest)
                    reason = f"shares a key with workspace {other.name}"
                    faults.append(BadWorkspace(workspace.name, reason))
        for digest in shared:
            del self._by_digest[digest]
        self.bad = tuple(faults)

    def find_by_key(self, key):
        """Find the workspace of a key.

        Args:
          key: Bytes, as a caller sent it.
        Returns:
          A Workspace, or None if the key is not valid.
        """
        return self._by_digest.get(digest_key(key))


class Caller(msgspec.Struct, frozen=True):
    """The identity under which a request accesses jobs.

    Attributes:
      workspace: The name of the workspace whose key was sent; empty for a caller of a
        public queue.
      queue: The name of the public queue; empty for a caller with a key.
      sees_all: Whether it may see every job: an operator, or any caller if the
        configuration has no workspaces.
    """

    workspace: str = ""
    queue: str = ""
    sees_all: bool = False

    def may_see(self, job_record):
        """Tell whether this caller may see a job.

        Args:
          job_record: A record.JobRecord; one of a version before workspaces names none.
        Returns:
          A bool.
        """
        if self.sees_all or not job_record.workspace:
            return True
        if self.queue:
            return job_record.queue.name == self.queue
        return job_record.workspace == self.workspace


OPERATOR = Caller(sees_all=True)


def make_submitter(job_record):
    """Make the Caller that submits a job.

    Args:
      job_record: The record.JobRecord to persist.
    Returns:
      A Caller.
    """
    return Caller(
        job_record.workspace, "" if job_record.workspace else job_record.queue.name
    )


def digest_key(key):
    """Compute the digest of a key, valid within this process; bytes of bytes."""
    return hashlib.blake2b(key, digest_size=DIGEST_BYTES, key=_SECRET).digest()
