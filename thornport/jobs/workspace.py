"""Workspaces: whose jobs they are, which keys let their callers in, what they may use.

A workspace is known by a key for the length of one request, and by its name from then
on. Keys are held as digests under a secret of this process alone, so that neither a log
nor the time of a look-up tells how near a wrong key came.
"""

import hashlib
import os

import msgspec

from thornport.jobs import spec

# Of a resource without a limit: more than any cell has, and sums with it stay exact.
UNLIMITED = 2**50
DIGEST_BYTES = 16  # two of a million keys are alike by chance once in 10**26
_SECRET = os.urandom(DIGEST_BYTES)


class Workspace(msgspec.Struct, frozen=True):
    """A workspace of a configuration.

    Attributes:
      name: A str.
      keys: The keys that let its callers in.
      weight: A float, the jobs a second that are its share when all is full; 0 if it
        has none.
      limit: Demand, the most that it may have running in the whole cell; UNLIMITED
        of a resource for which there is no limit.
    """

    name: str
    keys: tuple[str, ...] = ()
    weight: float = 0.0
    limit: spec.Demand = spec.Demand(UNLIMITED, UNLIMITED, UNLIMITED)


class BadWorkspace(msgspec.Struct, frozen=True):
    """What is wrong with a workspace of a configuration, which lets nobody in.

    Attributes:
      place: A str, where it stands; never a key.
      reason: A str.
    """

    place: str
    reason: str


class Workspaces:
    """The workspaces of one version of the configuration.

    Attributes:
      by_name: The Workspaces by name.
      bad: A tuple of BadWorkspace, what was left out.
    """

    __slots__ = ("_by_digest", "bad", "by_name")

    def __init__(self, workspaces, bad=()):
        """Index them; a key that stands in two lets nobody in.

        Args:
          workspaces: An iterable of Workspace; of two with one name the first counts.
          bad: An iterable of BadWorkspace, found before.
        """
        self.by_name = {}
        self._by_digest = {}
        faults = list(bad)
        shared = set()
        for workspace in workspaces:
            if workspace.name in self.by_name:
                faults.append(BadWorkspace(workspace.name, "named twice"))
                continue
            self.by_name[workspace.name] = workspace
            for key in workspace.keys:
                digest = digest_key(key.encode())
                other = self._by_digest.setdefault(digest, workspace)
                if other is not workspace and digest not in shared:
                    shared.add(digest)
                    reason = f"a key that {other.name} has too"
                    faults.append(BadWorkspace(workspace.name, reason))
        for digest in shared:
            del self._by_digest[digest]
        self.bad = tuple(faults)

    def find_by_key(self, key):
        """Find the workspace that a key lets in.

        Args:
          key: Bytes, as a caller sent it.
        Returns:
          A Workspace, or None when the key is not in force.
        """
        return self._by_digest.get(digest_key(key))


class Caller(msgspec.Struct, frozen=True):
    """For whom a process asks about a job.

    Attributes:
      workspace: A str, the name of the workspace whose key was sent; empty of a caller
        of a queue that asks for none.
      queue: A str, the name of that queue; empty where a key was asked for.
      sees_all: Whether it may see every job: an operator, or any caller where the
        configuration has no workspaces.
    """

    workspace: str = ""
    queue: str = ""
    sees_all: bool = False

    def may_see(self, job_record):
        """Tell whether a job is there for this caller.

        Args:
          kept: A record.JobRecord. One of a version before workspaces names none.
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
    """Name for whom a job is handed in.

    Args:
      kept: The record.JobRecord that is to be kept.
    Returns:
      A Caller.
    """
    return Caller(
        job_record.workspace, "" if job_record.workspace else job_record.queue.name
    )


def digest_key(key):
    """Make what stands for a key in this process; bytes of bytes."""
    return hashlib.blake2b(key, digest_size=DIGEST_BYTES, key=_SECRET).digest()
