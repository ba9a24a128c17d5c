"""The request path: one entry beside a direct call and the first version."""

import json
import os
import pathlib
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


def read_cpu_s(process):
    """Read the processor time that a process has used, in seconds."""
    fields = pathlib.Path(f"/proc/{process.popen.pid}/stat").read_text().split()
    return (int(fields[13]) + int(fields[14])) / os.sysconf("SC_CLK_TCK")


def measure(cell, name, entry, *options):
    """Run load at one process and print a row with what it cost there."""
    process = cell.by_name[entry]
    before_s = read_cpu_s(process)
    said = run_load(cell, [entry], *options)
    cpu_ms = (read_cpu_s(process) - before_s) * 1000 / COUNT
    describe(name, options, said)
    print(f"{'':<28} {cpu_ms:.2f} ms of processor time a request")


def describe(name, options, said):
    """Print one row."""
    tier = said["by_tier"]["normal"]
    spread = tier["latency_ms"]
    print(
        f"{name:<28} {' '.join(options[2:]):<30} {said['answered_per_s']:>7.0f}/s "
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
                measure(cell, name, entry, *options)
        options = (*options, "--not-repeatable", "1")
        measure(cell, "entry, keys claimed", "entry-1", *options)
    finally:
        cell.close()


def main():
    """Print the rows."""
    print("# request path, one process each, backend servers that run 0 ms")
    compare_one_entry()


if __name__ == "__main__":
    main()
