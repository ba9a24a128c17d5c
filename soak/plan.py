"""What goes wrong when, drawn from a seed: pure."""

import enum
import random

import msgspec

FAULTS_A_SECOND = 0.8  # so that several overlap
LONGEST_S = 5.0  # of a fault that lasts; below the leases of running tasks


class Kind(enum.Enum):
    """The faults."""

    KILL = "kill"
    PAUSE = "pause"
    STOP = "stop"
    STORE_DELAYED = "delay_ms"
    STORE_RESET = "cut"
    STORE_SILENT = "freeze"
    STORE_ONE_WAY = "one_way"
    STORE_MUTED = "mute"
    STORE_NARROW = "bytes_per_s"
    STORE_AWAY = "away"
    WRITES_LOST = "lose_writes"
    HISTORY_GONE = "forgets"
    KEYS_REVOKED = "revokes"
    STORE_SLOW = "slow_ms"
    WORKER_CRASH = "crash"
    WORKER_RESTART = "restart"
    WORKER_REPLACED = "replaced"
    CONFIG = "config"
    KEY = "key"
    LIMIT = "limit"


# Faults of one scheduler; the others are of the platform.
OF_SCHEDULER = frozenset(
    {
        Kind.KILL,
        Kind.PAUSE,
        Kind.STOP,
        Kind.STORE_DELAYED,
        Kind.STORE_RESET,
        Kind.STORE_SILENT,
        Kind.STORE_ONE_WAY,
        Kind.STORE_MUTED,
        Kind.STORE_NARROW,
    }
)


class Fault(msgspec.Struct, frozen=True):
    """One fault.

    Attributes:
      at_s: A float, seconds from the start of the soak.
      kind: A Kind.
      target: A str, the scheduler that it strikes; empty for the platform.
      for_s: A float, how long it lasts.
    """

    at_s: float
    kind: Kind
    target: str
    for_s: float


def make_plan(seed, seconds, names):
    """Draw the faults of a soak.

    Args:
      seed: An int.
      seconds: A float, how long faults come.
      names: A list of str, the schedulers.
    Returns:
      A list of Fault in order of time.
    """
    rng = random.Random(seed)
    faults = []
    for _ in range(max(1, int(seconds * FAULTS_A_SECOND))):
        kind = rng.choice(list(Kind))
        target = rng.choice(names) if kind in OF_SCHEDULER else ""
        at_s = rng.uniform(0.0, seconds)
        faults.append(Fault(at_s, kind, target, rng.uniform(0.2, LONGEST_S)))
    return sorted(faults, key=lambda fault: fault.at_s)
