"""What one workspace that sends many times its share takes from the others.

The pure core alone, in simulated time: 176 workers of 16 cores at four fifths of their
cores, 20 workspaces of which a few are large, and one that sends seven times its usual
for six seconds. In a second part the limit of a large workspace falls far below what it
sends, and how much of it is used while its work waits is measured.
"""

import collections
import itertools

from bench import gangs
from thornport.jobs import queue, spec, workspace

WORKERS = 176
CALLERS = 30
ROOM = spec.Demand(16_000, 32_768, 0)
HOT = "ws00"
HOT_TIMES = 7.5
HOT_FROM_S, HOT_TO_S = 8.0, 14.5
WORKSPACES = 20
# Shares of the jobs by workspace: a few are large.
SHARES = {f"ws{n:02}": 1.0 / (n + 2) for n in range(WORKSPACES)}
WEIGHT_TIMES = 1.9  # of a workspace's usual jobs a second
LOW_LIMIT = spec.Demand(300_000, workspace.UNLIMITED, workspace.UNLIMITED)
LOW_FROM_S = 20.0

KINDS = (
    gangs.Kind(
        gangs.make_queue("urgent", 0, 1.5, 253, (14.0, 0.13)),
        51.6,
        3,
        19,
        spec.Demand(2_500, 2_500, 0),
        0.64,
        0.7,
        (0.0, 0.0, 1.0),
    ),
    gangs.Kind(
        gangs.make_queue("gangs", 1, 2.2, 1003, (455.0, 6.5)),
        2.22,
        20,
        120,
        spec.Demand(4_500, 4_500, 0),
        4.0,
        0.25,
        (0.0, 0.0, 1.0),
        gang=True,
    ),
    gangs.Kind(
        gangs.make_queue("cheap", 2, 4.0, 3004, (156.0, 2.34)),
        5.13,
        25,
        150,
        spec.Demand(1_700, 2_500, 0),
        3.4,
        0.45,
        (0.0, 0.0, 1.0),
    ),
)


def make_config(version, low_limit=None):
    """Make a version of the configuration; the hot workspace may have a low limit."""
    jobs_a_second = sum(kind.a_second for kind in KINDS)
    whole = sum(SHARES.values())
    found = []
    for name, share in SHARES.items():
        weight = WEIGHT_TIMES * jobs_a_second * share / whole
        limit = low_limit if name == HOT else None
        kept = workspace.Workspace(name, (), weight)
        if limit is not None:
            kept = workspace.Workspace(name, (), weight, limit)
        found.append(kept)
    return queue.Config(
        version,
        tuple(kind.queue for kind in KINDS),
        workspaces=workspace.Workspaces(found),
    )


MIX = gangs.Mix(KINDS, WORKERS, CALLERS, ROOM, make_config(1))


class Simulation(gangs.Simulation):
    """A cell in which one workspace sends many times its usual for a while.

    Attributes:
      used_shares: Of the low limit, one for each look while work waits for it.
    """

    def __init__(self, seed, has_low_limit=False):
        super().__init__(seed, MIX)
        self.has_low_limit = has_low_limit
        self.used_shares = []
        self._names = list(SHARES)
        self._sums = list(itertools.accumulate(SHARES.values()))

    def arrive(self):
        """Let jobs come, and change the limit when it is time."""
        if self.has_low_limit and LOW_FROM_S <= self.now < LOW_FROM_S + gangs.STEP_S:
            self.core.take_config(make_config(2, LOW_LIMIT), self.now)
        super().arrive()
        if not HOT_FROM_S <= self.now < HOT_TO_S:
            return
        whole = sum(SHARES.values())
        for kind, rng in self.rng_by_kind.items():
            usual = kind.a_second * SHARES[HOT] / whole
            expected = usual * (HOT_TIMES - 1) * gangs.STEP_S
            for _ in range(int(expected) + (rng.random() < expected % 1)):
                self.is_extra = True
                self.take_job(kind, rng)
                self.is_extra = False

    is_extra = False

    def choose_workspace(self, rng):
        """Choose by the shares, or the hot one for what comes in excess."""
        drawn = rng.random() * self._sums[-1]
        if self.is_extra:
            return HOT
        return next(
            name
            for name, upto in zip(self._names, self._sums, strict=True)
            if drawn < upto
        )

    def decide(self):
        """A round; then see how much of the low limit is used where work waits."""
        super().decide()
        if not self.has_low_limit or self.now < LOW_FROM_S + 8.0:
            return
        waits = any(
            step.is_at_limit
            for job in self.core._unended_by_id.values()
            for step in job.steps_by_key.values()
            if step.waiting
        )
        if waits:
            used = self.core.usage.used_by_name[HOT].millicores
            self.used_shares.append(used / LOW_LIMIT.millicores)


def describe(simulation):
    """Describe who was in time, of the hot workspace and of the others."""
    parts = []
    for is_hot in (False, True):
        decided = collections.Counter()
        in_time = collections.Counter()
        for job in simulation.job_by_id.values():
            kind = job.kind
            if (job.workspace == HOT) is not is_hot:
                continue
            if job.arrived_at + kind.objective_s >= gangs.SIMULATED_S:
                continue
            decided[kind.queue.name] += 1
            in_time[kind.queue.name] += (
                job.ended_at - job.arrived_at <= kind.objective_s
            )
        who = "hot" if is_hot else "others"
        parts += [
            f"{who}_{name}={in_time[name] / decided[name]:.3f}" for name in decided
        ]
    unserved = sum(job.left > 0 for job in simulation.job_by_id.values())
    parts.append(f"unserved={unserved}")
    if simulation.used_shares:
        mean = sum(simulation.used_shares) / len(simulation.used_shares)
        parts.append(f"limit_used={mean:.3f}")
    parts.append(f"core_share={simulation.core_s / gangs.SIMULATED_S:.3f}")
    return " ".join(parts)


def main():
    """Print a line for each seed and part."""
    for has_low_limit in (False, True):
        for seed in gangs.SEEDS:
            simulation = Simulation(seed, has_low_limit)
            simulation.run()
            kind = "low-limit" if has_low_limit else "hot"
            print(f"workspaces {kind} seed={seed}", describe(simulation))


if __name__ == "__main__":
    main()
