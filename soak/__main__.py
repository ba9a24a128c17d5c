"""`python -m soak` runs the soak for some seeds and prints a line for each."""

import collections
import random
import signal
import sys
from typing import Annotated

import typer

from soak import callers, checks, plan, sizes, strikes, versions
from tests import schedulers

LASTING_EACH = 2  # jobs of a caller that last
# With fewer, callers pause for longer: the jobs of one use some 150 cores, and those
# that find no room would wait for their turn long after all is mended.
WORKERS_A_CALLER = 5
STATUS_S = 3600  # how long ended jobs are known: to the end of the longest soak
# Of so many calls for advice one has no answer: who waits for one must ask again, also
# when the process that called is gone.
ADVICE_SILENT_EVERY = 8
STARTS_AT_ONCE = 6  # processes: each takes a core for a third of a second
BROKEN_CODE = 1
REFUSED_CODE = 2
INTERRUPTED_CODE = 130
MOST_SEED = 10**9
MOST_SEEDS = 1000
MOST_SECONDS = 600
APPLY_RANGE_MS = (100, 60_000)
MEMORY_SHARE_RANGE = (0.01, sizes.MEMORY_SHARE)
MS_PER_S = 1000


def run_plan(seed, drawn, apply_s=versions.APPLY_MS / MS_PER_S):
    """Run a soak.

    Args:
      seed: An int, of the callers.
      drawn: A plan.Plan.
      apply_s: A float, from the acknowledgement of a version until it is in force.
    Returns:
      A pair: a list of str, the broken promises, and a str that says what ran.
    """
    size = drawn.size
    book = callers.Book()
    is_kept = False
    cell = schedulers.Schedulers(
        size.schedulers,
        size.workers,
        proxied=size.proxied,
        starts_at_once=STARTS_AT_ONCE,
        status_s=STATUS_S,
        advice_silent_every=ADVICE_SILENT_EVERY,
    )
    try:
        print(f"seed={seed} logs in {cell.folder}", file=sys.stderr, flush=True)
        threads = [
            callers.Caller(
                cell,
                book,
                seed * size.callers + number,
                LASTING_EACH,
                callers.PAUSE_S
                * max(1.0, WORKERS_A_CALLER * size.callers / size.workers),
            )
            for number in range(size.callers)
        ]
        owner = cell.find_owner()
        if size.has_dispatchers():
            cell.by_name[owner].wait_for(r"event=dispatchers-chosen")
        striker = strikes.Striker(cell, size, book, apply_s)
        for name in cell.names:
            cell.by_name[name].wait_for(rf"config-in-force version={striker.version} ")
        for thread in threads:
            thread.start()
        striker.run(drawn.faults)
        for thread in threads:
            thread.stopping.set()
        for thread in threads:
            thread.join()
        striker.finish()
        broken = striker.broken
        broken += checks.check_jobs(cell, book)
        broken += checks.check_lasting(cell, book)
        broken += checks.check_nothing_runs(cell)
        broken += checks.check_workers(cell.read_seen(), book)
        broken += checks.check_configs(cell, striker.version)
        broken += checks.check_workspace(cell, striker.withdrawn, striker.limits)
        is_kept = not broken
    finally:
        cell.end_processes()
        if is_kept:
            cell.close()
        else:
            print(f"logs kept in {cell.folder}", file=sys.stderr)
    told = (
        f"schedulers={size.schedulers} proxied={size.proxied} workers={size.workers} "
        f"faults={len(drawn.faults)} accepted={len(book.accepted)} "
        f"refused={len(book.refused)} unknown={len(book.unknown)} "
        f"cancelled={len(book.cancelled)} never={len(book.never)} "
        f"lasting={len(book.lasting)} versions={striker.watcher.counted}"
    )
    return broken, told


def refuse(problem):
    """Refuse a plan before anything starts, with its field and range."""
    raise typer.BadParameter(problem)


def choose_size(kind, schedulers_count, proxied, workers, callers_count):
    """Choose the size by what the command line says of it.

    Args:
      kind: A sizes.SizeKind or None.
      schedulers_count, proxied, workers, callers_count: Ints, or None where the command
        line says nothing.
    Returns:
      A sizes.Size, a SizeKind, or None to draw it.
    """
    numbers = (schedulers_count, proxied, workers, callers_count)
    if numbers == (None,) * len(numbers):
        return kind
    if kind is not None:
        refuse(
            "--size is drawn: give it alone, or --schedulers, --workers and the like"
        )
    if schedulers_count is None or workers is None:
        refuse("--schedulers and --workers go together")
    if proxied is None:
        proxied = schedulers_count
    return sizes.Size(schedulers_count, proxied, workers, callers_count or 4)


def interrupt(*_):
    """End the soak and what it started."""
    raise SystemExit(INTERRUPTED_CODE)


def within(low, high):
    """Make a check of an option, which refuses what is out of its range, or no number.

    Args:
      low, high: The least and the most that it may be.
    Returns:
      A callable of the option's value; None passes, the option is not given then.
    """

    def check(value):
        if value is not None and not low <= value <= high:
            refuse(f"{value} is not in the range {low}<=x<={high}")
        return value

    return check


def declare(low, high, *names, **more):
    """Declare an option that has a range."""
    return typer.Option(*names, callback=within(low, high), **more)


def main(
    seed: Annotated[int, declare(0, MOST_SEED, help="The first; 0 draws one.")] = 0,
    count: Annotated[int, declare(1, MOST_SEEDS, help="Seeds to run.")] = 1,
    seconds: Annotated[
        float, declare(1, MOST_SECONDS, help="How long faults come.")
    ] = 15.0,
    size: Annotated[
        sizes.SizeKind | None, typer.Option(help="Drawn by each seed if not given.")
    ] = None,
    schedulers_count: Annotated[
        int | None, declare(2, sizes.MOST_SCHEDULERS, "--schedulers")
    ] = None,
    proxied: Annotated[
        int | None, declare(0, sizes.MOST_SCHEDULERS, help="Of them, with a proxy.")
    ] = None,
    workers: Annotated[int | None, declare(1, sizes.MOST_WORKERS)] = None,
    callers_count: Annotated[
        int | None, declare(1, sizes.MOST_CALLERS, "--callers")
    ] = None,
    kind: Annotated[
        list[plan.Kind] | None, typer.Option(help="Kinds of fault; all if none given.")
    ] = None,
    apply_ms: Annotated[
        int, declare(*APPLY_RANGE_MS, help="Until a version has to be in force.")
    ] = versions.APPLY_MS,
    memory_share: Annotated[
        float,
        declare(*MEMORY_SHARE_RANGE, help="Most of the machine's memory."),
    ] = sizes.MEMORY_SHARE,
):
    """Run the soak; the exit code is 1 when a promise was broken, 2 when refused."""
    chosen = choose_size(size, schedulers_count, proxied, workers, callers_count)
    kinds = tuple(kind or ())
    first = seed or random.SystemRandom().randrange(1, MOST_SEED)
    plans = [
        (one, plan.make_plan(one, seconds, chosen, kinds))
        for one in range(first, first + count)
    ]
    for _, drawn in plans:
        problem = plan.find_fault(drawn, kinds)
        if isinstance(chosen, sizes.Size):
            problem = problem or sizes.find_excess(chosen, memory_share)
        if problem:
            refuse(problem)
    for number in (signal.SIGTERM, signal.SIGHUP):
        # Under nohup a closed terminal is no order to end.
        if signal.getsignal(number) is not signal.SIG_IGN:
            signal.signal(number, interrupt)
    counts = collections.Counter()
    for one, drawn in plans:
        verdict, told, broken = (
            "refused",
            sizes.find_excess(drawn.size, memory_share),
            [],
        )
        if not told:
            broken, told = run_plan(one, drawn, apply_ms / MS_PER_S)
            verdict = "broken" if broken else "kept"
        print(f"seed={one} seconds={seconds} {verdict} {told}", flush=True)
        for line in broken:
            print(f"  {line}", flush=True)
        counts[verdict] += 1
    print(
        f"{counts['kept']} seeds kept, {counts['broken']} broken, "
        f"{counts['refused']} refused"
    )
    if counts["broken"]:
        raise SystemExit(BROKEN_CODE)
    raise SystemExit(REFUSED_CODE if counts["refused"] else 0)


# Plain lines: a box would break those that name a field and its range.
app = typer.Typer(add_completion=False, rich_markup_mode=None)
app.command()(main)


if __name__ == "__main__":
    app()
