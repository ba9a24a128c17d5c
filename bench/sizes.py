"""What grows with the size of a cell: 176, 1,000 and 3,000 workers, with their VMs.

The pure core under the same mix for each worker, jobs that are told of while they are
being kept, and the parts of the peers' messages that an owner makes. In simulated time;
prints a line for each size, so that what grows faster than the workers is seen.
"""

import time

import msgspec

from bench import gangs, workspaces
from thornport.cell.decisions import advising
from thornport.cell.dispatch import assignment
from thornport.cell.peers import peering, silencevote

SIZES = (176, 1000, 3000)
SIMULATED_S = 2.0
SEED = 2
GREETINGS_A_SECOND = 2.0


class Simulation(gangs.Simulation):
    """A cell whose jobs are told of before they are accepted."""

    def hand_in(self, kept):
        """Have the core take a job, incoming first."""
        self.core.take_incoming(kept, self.now)
        super().hand_in(kept)

    def choose_workspace(self, rng):
        """Choose any workspace."""
        return rng.choice(list(workspaces.SHARES))


def make_mix(workers):
    """Make the mix of a cell of some workers; jobs grow with them."""
    times = workers / workspaces.WORKERS
    kinds = tuple(
        msgspec.structs.replace(kind, a_second=kind.a_second * times)
        for kind in workspaces.KINDS
    )
    callers = round(workspaces.CALLERS * times)
    config = workspaces.make_config(1)
    return gangs.Mix(kinds, workers, callers, workspaces.ROOM, config)


def measure_greetings(count):
    """Measure a second of greetings of some processes.

    Args:
      count: An int.
    Returns:
      A pair of floats: seconds of processor and bytes sent, once all are known.
    """
    callers = advising.Callers()
    addresses = [f"10.{n % 3}.{n // 250}.{n % 250}:7420" for n in range(count)]
    for number, address in enumerate(addresses):
        callers.greet(f"vm-{number}", address, True, 1.0, 0.0)
    version = callers.list_peers(0.0).version
    sent = 0
    began = time.perf_counter()
    for tick in range(round(count * GREETINGS_A_SECOND)):
        now = tick / (count * GREETINGS_A_SECOND)
        number = tick % count
        callers.greet(f"vm-{number}", addresses[number], True, 1.0, now)
        lists = callers.list_peers(now)
        known = 0 if tick % 4 == 0 else version
        answer = peering.Alive()
        if known != lists.version:
            answer = peering.Peers(lists.with_store, version=lists.version)
        sent += len(peering.CODEC.encode(answer))
    return time.perf_counter() - began, sent


def measure_assignment(simulation):
    """Measure choosing dispatchers after one process has gone; seconds."""
    callers = [
        advising.Caller(f"vm-{n}", f"10.0.0.1:{n}", 0.0, hall="h")
        for n in range(simulation.mix.callers)
    ]
    entries = [worker.entry for worker in simulation.core.workers_by_id.values()]
    assigner = assignment.Assigner()
    assigner.assign(callers, entries)
    began = time.perf_counter()
    assigner.assign(callers[1:], entries)
    return time.perf_counter() - began


def main():
    """Print a line for each size."""
    gangs.SIMULATED_S = SIMULATED_S
    for workers in SIZES:
        simulation = Simulation(SEED, make_mix(workers))
        simulation.run()
        processes = simulation.mix.callers
        greeting_s, sent = measure_greetings(processes)
        asked = min(processes - 1, silencevote.MAX_VOTERS)
        print(
            f"sizes workers={workers} processes={processes} "
            f"jobs={len(simulation.job_by_id)} "
            f"core_share={simulation.core_s / SIMULATED_S:.3f} "
            f"greetings_share={greeting_s:.4f} greetings_kb_s={sent / 1000:.0f} "
            f"poll_messages={processes * asked * 2} "
            f"assign_ms={measure_assignment(simulation) * 1000:.1f}"
        )


if __name__ == "__main__":
    main()
