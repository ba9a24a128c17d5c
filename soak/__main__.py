"""`python -m soak` runs the soak for some seeds and prints a line for each."""

import random
import sys
from typing import Annotated

import typer

from soak import callers, checks, plan, strikes
from tests import schedulers

SCHEDULERS = 4
WORKERS = 5
CALLERS = 4


def run_seed(seed, seconds):
    """Run the soak once.

    Args:
      seed: An int.
      seconds: A float, how long faults come.
    Returns:
      A pair: a list of str, the broken promises, and a str that says what ran.
    """
    cell = schedulers.Schedulers(SCHEDULERS, WORKERS, has_proxies=True)
    book = callers.Book()
    threads = [
        callers.Caller(cell, book, seed * CALLERS + number) for number in range(CALLERS)
    ]
    is_kept = False
    try:
        cell.find_owner()
        striker = strikes.Striker(cell)
        for name in cell.names:
            cell.by_name[name].wait_for(rf"config-in-force version={striker.version} ")
        for thread in threads:
            thread.start()
        striker.run(plan.make_plan(seed, seconds, cell.names))
        for thread in threads:
            thread.stopping.set()
        for thread in threads:
            thread.join()
        broken = checks.check_jobs(cell, book)
        broken += checks.check_workers(cell.read_seen(), book)
        broken += checks.check_configs(cell, striker.version)
        broken += checks.check_workspace(cell, striker.withdrawn, strikes.LIMITS)
        broken += striker.cut
        is_kept = not broken
    finally:
        cell.end_processes()
        if is_kept:
            cell.close()
        else:
            print(f"logs kept in {cell.folder}", file=sys.stderr)
    told = (
        f"accepted={len(book.accepted)} refused={len(book.refused)} "
        f"unknown={len(book.unknown)} cancelled={len(book.cancelled)}"
    )
    return broken, told


def main(
    seed: Annotated[int, typer.Option(help="The first; 0 draws one.")] = 0,
    count: Annotated[int, typer.Option(min=1, max=1000, help="Seeds to run.")] = 1,
    seconds: Annotated[float, typer.Option(min=1, max=600)] = 15.0,
):
    """Run the soak; the exit code is 1 when a promise was broken."""
    first = seed or random.SystemRandom().randrange(1, 10**9)
    failed = 0
    for one in range(first, first + count):
        broken, told = run_seed(one, seconds)
        verdict = "broken" if broken else "kept"
        print(f"seed={one} seconds={seconds} {verdict} {told}", flush=True)
        for line in broken:
            print(f"  {line}", flush=True)
        failed += bool(broken)
    print(f"{count - failed} seeds kept, {failed} broken")
    raise SystemExit(1 if failed else 0)


if __name__ == "__main__":
    typer.run(main)
