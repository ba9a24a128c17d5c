"""Wait of the top tier, alone and while a lower tier offers three times the
capacity; and how much of the slots is used at saturation."""

import time

from bench import requests
from tests import harness

BACKENDS = 4
RUN_MS = 100
SLOTS = 8
CAPACITY = BACKENDS * SLOTS * 1000 / RUN_MS
TOP_RATE = CAPACITY / 4
SECONDS = 12
ENTRIES = ("entry-1", "entry-2", "entry-3")


def start_load(cell, tier, rate, seed):
    """Start open-loop load of one tier at all entries."""
    count = str(int(rate * SECONDS))
    options = ("--rate", str(rate), "--count", count, "--tier", f"{tier}=1")
    options += ("--deadline-ms", "2000", "--seed", str(seed))
    return requests.run_load(cell, ENTRIES, *options, wait=False)


def describe(name, tier, said):
    """Print one row."""
    spread = said["by_tier"][tier]["latency_ms"]
    counts = said["by_tier"][tier]["by_outcome"]
    print(
        f"{name:<40} {said['answered_per_s']:>5.0f}/s p50 {spread['p50']:.0f} ms "
        f"p99 {spread['p99']:.0f} ms {counts}"
    )


def count_served(cell):
    """Count what all backend servers have run, and whether slots were kept."""
    said = cell.count_runs().values()
    assert not any(each["over_limit"] for each in said)
    return sum(each["served"] for each in said)


def read_costs(cell):
    """Read processor time and messages sent of all entries."""
    cpu_s = sum(requests.read_cpu_s(cell.by_name[name]) for name in ENTRIES)
    said = [harness.call_json("GET", cell.url(n, "/v1/status")) for n in ENTRIES]
    return cpu_s, sum(each["counts"]["peers.sent"] for each in said)


def main():
    """Print the rows."""
    print(f"# tiers, {len(ENTRIES)} entries, {CAPACITY:.0f} requests/s at the most")
    cell = requests.make_cell(BACKENDS, RUN_MS, SLOTS)
    try:
        for number, name in enumerate(ENTRIES):
            cell.start_entry(name, hall=f"h{number}", beat_s=0.5, lease_s=2.0)
        cell.wait_ready(*ENTRIES)
        cell.wait_slots(SLOTS * BACKENDS, *ENTRIES)
        alone = start_load(cell, "urgent", TOP_RATE, 1)
        describe("urgent alone", "urgent", requests.read_report(alone))
        lower = [start_load(cell, "normal", CAPACITY, seed) for seed in (2, 3, 4)]
        top = start_load(cell, "urgent", TOP_RATE, 5)
        time.sleep(SECONDS / 4)
        cpu_s, sent = read_costs(cell)
        served, start = count_served(cell), time.monotonic()
        time.sleep(SECONDS / 2)
        seconds = time.monotonic() - start
        rate = (count_served(cell) - served) / seconds
        cpu_s, sent = (
            a - b for a, b in zip(read_costs(cell), (cpu_s, sent), strict=True)
        )
        describe("urgent, normal at 3 x capacity", "urgent", requests.read_report(top))
        for each in lower:
            describe("  a third of normal", "normal", requests.read_report(each))
        print(f"slots used at saturation: {rate / CAPACITY:.0%}, none over")
        each = len(ENTRIES) * seconds
        print(f"an entry: {cpu_s / each:.0%} of a core, {sent / each:.0f} messages/s")
    finally:
        cell.close()


if __name__ == "__main__":
    main()
