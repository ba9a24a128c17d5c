"""The request path: one entry beside a direct call and the first version."""

import json
import subprocess
import sys

from tests import harness

DECLARATIONS = """
[tiers/urgent]
price = 100
[tiers/normal]
price = 10
[workspaces/press]
tiers = normal, urgent
requests = 100000
[services/press-desk]
slots = 8
queue_limit = 2000
"""
COUNT = 3000
CALLERS = 32
BACKENDS = 4


def run_load(cell, entries, *options, wait=True):
    """Run the load tool as a process against some entries."""
    arguments = ["load", "press-desk", "press", "--json", *options]
    for entry in entries:
        arguments += ["--entry", cell.url(entry)]
    command = [sys.executable, "-m", "thornport.commands.main", *arguments]
    started = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    return read_report(started) if wait else started


def read_report(started):
    """Wait for a load process and read its report."""
    out, _ = started.communicate(timeout=300)
    return json.loads(out)


def make_cell(backends=BACKENDS, run_ms=0, slots=8):
    """Start the platform and backend servers."""
    cell = harness.Cell()
    cell.start_platform()
    cell.start_backends("press-desk", backends, run_ms, slots)
    cell.apply(DECLARATIONS)
    return cell


def describe(name, callers, said):
    """Print one row."""
    tier = said["by_tier"]["normal"]
    spread = tier["latency_ms"]
    print(
        f"{name:<28} {callers:>4} callers {said['answered_per_s']:>7.0f}/s "
        f"p50 {spread['p50']:.1f} ms p99 {spread['p99']:.1f} ms {tier['by_outcome']}"
    )


def compare_one_entry():
    """One entry process beside the first version, in one run."""
    cell = make_cell()
    try:
        cell.start_entry("thin", module="bench.thin")
        cell.start_entry("entry-1")
        cell.wait_ready("entry-1", "thin")
        cell.wait_slots(8 * BACKENDS, "entry-1")
        harness.wait_until(lambda: cell.request("thin").status == 200, "thin ready")
        rows = (
            ("direct, no entry", "press-desk-0"),
            ("first version", "thin"),
            ("entry", "entry-1"),
        )
        for callers in (1, CALLERS):
            options = ("--count", str(COUNT), "--callers", str(callers))
            for name, entry in rows:
                describe(name, callers, run_load(cell, [entry], *options))
        options = (*options, "--not-repeatable", "1")
        describe("entry, keys claimed", CALLERS, run_load(cell, ["entry-1"], *options))
    finally:
        cell.close()


def main():
    """Print the rows."""
    print("# request path, one process each, backend servers that run 0 ms")
    compare_one_entry()


if __name__ == "__main__":
    main()
