"""How large the cell of a soak is, and whether the machine has room for it."""

import enum
import pathlib
import re

import msgspec

from thornport.cell.dispatch import assignment

MOST_PROCESSES = 300
# Of one process of ours: 54 MB each were measured of 101 together, and they grow with
# the jobs they know.
PROCESS_MB = 60
MEMORY_SHARE = 0.5  # of the machine's memory, the most that a soak takes
MEMORY_PATH = pathlib.Path("/proc/meminfo")
KB_PER_MB = 1024

MOST_SCHEDULERS = 250
MOST_WORKERS = 400
MOST_CALLERS = 32


class SizeKind(enum.Enum):
    """Kinds of size.

    DOZENS: a few dozen processes.
    DISPATCHERS: enough workers that other processes call them for the owner.
    LIMITS: a hundred processes to a few hundred.
    """

    DOZENS = "dozens"
    DISPATCHERS = "dispatchers"
    LIMITS = "limits"


WEIGHT_BY_KIND = {SizeKind.DOZENS: 7, SizeKind.DISPATCHERS: 2, SizeKind.LIMITS: 1}
# The least and the most of schedulers, of those with a proxy, of workers, of callers.
RANGES_BY_KIND = {
    SizeKind.DOZENS: ((6, 16), (4, 16), (4, 40), (3, 6)),
    SizeKind.DISPATCHERS: (
        (6, 12),
        (4, 12),
        (assignment.MIN_DISPATCHED_WORKERS + 20, assignment.MIN_DISPATCHED_WORKERS * 2),
        (4, 8),
    ),
    SizeKind.LIMITS: (
        (80, 200),
        (20, 60),
        (assignment.MIN_DISPATCHED_WORKERS + 20, assignment.MIN_DISPATCHED_WORKERS * 3),
        (6, 12),
    ),
}


class Size(msgspec.Struct, frozen=True):
    """How large a cell is.

    Attributes:
      schedulers: An int, its scheduler processes.
      proxied: An int, how many of them reach the store by a proxy, a process each.
      workers: An int, all in the one process of the platform.
      callers: An int, threads of the soak itself.
    """

    schedulers: int
    proxied: int
    workers: int
    callers: int

    def count_processes(self):
        """How many processes it has, an int."""
        return 1 + self.schedulers + self.proxied

    def has_dispatchers(self):
        """Whether some processes call workers for the owner."""
        return self.workers >= assignment.MIN_DISPATCHED_WORKERS


def draw_size(rng, kind=None):
    """Draw a size.

    Args:
      rng: A random.Random.
      kind: A SizeKind; None draws it too.
    Returns:
      A Size.
    """
    drawn = rng.choices(list(WEIGHT_BY_KIND), WEIGHT_BY_KIND.values())[0]
    ranges = RANGES_BY_KIND[kind or drawn]
    schedulers, proxied, workers, callers = (rng.randint(*ends) for ends in ranges)
    return Size(schedulers, min(proxied, schedulers), workers, callers)


def find_excess(size, memory_share, read_text=MEMORY_PATH.read_text):
    """Find out why a cell is too large for this machine as it is now.

    Args:
      size: A Size.
      memory_share: A float, of the machine's memory.
      read_text: A callable giving the kernel's account of memory.
    Returns:
      A str that names the field and the range; empty when the cell fits.
    """
    count = size.count_processes()
    if size.proxied > size.schedulers:
        return f"proxied is {size.proxied}: from 0 to schedulers, {size.schedulers}"
    if count > MOST_PROCESSES:
        return (
            f"schedulers and proxied make {count} processes with the platform: "
            f"from 2 to {MOST_PROCESSES}"
        )
    total_mb, free_mb = (
        int(found) // KB_PER_MB
        for found in re.findall(r"Mem(?:Total|Available): *(\d+) kB", read_text())
    )
    share_mb = int(total_mb * memory_share)
    most = min(share_mb, free_mb) // PROCESS_MB
    if count > most:
        return (
            f"schedulers and proxied make {count} processes with the platform, of "
            f"{PROCESS_MB} MB each: from 2 to {most}, for {share_mb} MB may be used "
            f"and {free_mb} MB are free"
        )
    return ""
