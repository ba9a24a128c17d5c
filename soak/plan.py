"""What goes wrong when, drawn from a seed: pure."""

import enum
import math
import random

import msgspec

from soak import sizes

FAULTS_A_SECOND = 0.8  # so that several overlap
LONGEST_S = 5.0  # of a fault that lasts; below the leases of running tasks
SERIES_EVERY_S = 8.0  # so that short runs have one too
SERIES_COUNTS = (3, 6)  # faults of one kind, one after the other
SERIES_GAPS_S = (0.1, 0.8)
MOST_PICKED = 1000  # faults that strike one of several draw a number below


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
    WORKERS_FAIL = "failing"
    BURST = "burst"


# Drawn apart from the others, so that the faults of older seeds stay what they were.
DRAWN_APART = (Kind.WORKERS_FAIL, Kind.BURST)
APART_EVERY_S = 10.0  # one of each
# Faults of one scheduler's link to the store.
OF_LINK = frozenset(
    {
        Kind.STORE_DELAYED,
        Kind.STORE_RESET,
        Kind.STORE_SILENT,
        Kind.STORE_ONE_WAY,
        Kind.STORE_MUTED,
        Kind.STORE_NARROW,
    }
)
# Faults of one scheduler; the others are of the platform.
OF_SCHEDULER = OF_LINK | {Kind.KILL, Kind.PAUSE, Kind.STOP}


# What comes in series, while the store is in trouble.
IN_SERIES = (
    Kind.KILL,
    Kind.PAUSE,
    Kind.STOP,
    Kind.WORKER_RESTART,
    Kind.WORKER_REPLACED,
    Kind.CONFIG,
    Kind.KEY,
    Kind.LIMIT,
)
STORE_TROUBLE = (
    Kind.STORE_SLOW,
    Kind.STORE_AWAY,
    Kind.STORE_DELAYED,
    Kind.STORE_SILENT,
    Kind.STORE_ONE_WAY,
)


class Fault(msgspec.Struct, frozen=True):
    """One fault.

    Attributes:
      at_s: A float, seconds from the start of the soak.
      kind: A Kind.
      target: A str, the scheduler that it strikes; empty for the platform.
      for_s: A float, how long it lasts.
      pick: An int, which worker it strikes if it strikes one.
    """

    at_s: float
    kind: Kind
    target: str
    for_s: float
    pick: int = 0


class Plan(msgspec.Struct, frozen=True):
    """What a soak is.

    Attributes:
      size: A sizes.Size.
      faults: A list of Fault in order of time.
    """

    size: sizes.Size
    faults: list[Fault]


def make_plan(seed, seconds, size=None, kinds=()):
    """Draw a soak.

    Args:
      seed: An int.
      seconds: A float, how long faults come.
      size: A sizes.Size or a sizes.SizeKind; None draws it.
      kinds: The Kinds to draw from; empty for all.
    Returns:
      A Plan.
    """
    rng = random.Random(seed)
    drawn = sizes.draw_size(rng, size if isinstance(size, sizes.SizeKind) else None)
    if isinstance(size, sizes.Size):
        drawn = size
    drawing = Drawing(
        rng, seconds, drawn, kinds or tuple(k for k in Kind if k not in DRAWN_APART)
    )
    faults = drawing.draw_single() + drawing.draw_series()
    if not kinds:
        apart = Drawing(random.Random(f"apart {seed}"), seconds, drawn, DRAWN_APART)
        faults += apart.draw_each()
    return Plan(drawn, sorted(faults, key=lambda fault: fault.at_s))


def find_fault(drawn, kinds):
    """Find out why a plan can't be; a str, empty when it can."""
    if kinds and not drawn.size.proxied and OF_LINK.issuperset(kinds):
        return "kind has faults of links alone, and proxied is 0: from 1 to schedulers"
    return ""


class Drawing:
    """Draws the faults of one soak."""

    def __init__(self, rng, seconds, size, kinds):
        """Take what is drawn from.

        Args:
          rng: A random.Random.
          seconds, size: As for `make_plan`.
          kinds: A sequence of Kind.
        """
        self._rng = rng
        self._seconds = seconds
        # A cell without proxies has no links of its own to strike.
        self._kinds = [kind for kind in kinds if size.proxied or kind not in OF_LINK]
        self._names = [f"scheduler-{number}" for number in range(size.schedulers)]
        self._proxied = self._names[: size.proxied]

    def draw_single(self):
        """Draw faults of all kinds, each for itself; a list of Fault."""
        count = max(1, int(self._seconds * FAULTS_A_SECOND)) if self._kinds else 0
        return [
            self._draw(
                self._rng.choice(self._kinds), self._rng.uniform(0, self._seconds)
            )
            for _ in range(count)
        ]

    def draw_series(self):
        """Draw series of one kind each, with the store in trouble; a list of Fault."""
        kinds = [kind for kind in IN_SERIES if kind in self._kinds]
        troubles = [kind for kind in STORE_TROUBLE if kind in self._kinds]
        faults = []
        for _ in range(math.ceil(self._seconds / SERIES_EVERY_S) if kinds else 0):
            kind = self._rng.choice(kinds)
            at_s = self._rng.uniform(0, self._seconds)
            if troubles:
                faults.append(self._draw(self._rng.choice(troubles), at_s))
            for _ in range(self._rng.randint(*SERIES_COUNTS)):
                at_s = min(self._seconds, at_s + self._rng.uniform(*SERIES_GAPS_S))
                faults.append(self._draw(kind, at_s))
        return faults

    def draw_each(self):
        """Draw as many faults of each kind as fit into the time; a list of Fault."""
        count = math.ceil(self._seconds / APART_EVERY_S)
        return [
            self._draw(kind, self._rng.uniform(0, self._seconds))
            for kind in self._kinds * count
        ]

    def _draw(self, kind, at_s):
        target = ""
        if kind in OF_LINK:
            target = self._rng.choice(self._proxied)
        elif kind in OF_SCHEDULER:
            target = self._rng.choice(self._names)
        for_s = self._rng.uniform(0.2, LONGEST_S)
        return Fault(at_s, kind, target, for_s, self._rng.randrange(MOST_PICKED))
