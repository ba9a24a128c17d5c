"""Slopes for docs/CAPACITY.md: what one more of each thing costs.

Each row fits a line through a few sizes and prints slope, intercept and the
largest residual as a share of the largest value, so that noise is seen.
"""

import gc
import pathlib
import statistics
import time
import tracemalloc

from thornport.kernel import codec
from thornport.membership import guard, record
from thornport.once import holder, messages
from thornport.placement import model, placer
from thornport.routing import homes, ledgers, lender, loans
from thornport.settings import compile as compiling
from thornport.settings import schema, tree

REPEATS = 5
MEASURED_S = 20
TASKS = 5400
WORKER_SIZES = (24, 240, 430, 860)
RECORD_SIZES = (2000, 10_000, 20_000)
BRANCH_SIZES = (500, 2000, 4000)
POLLED_SIZES = (1, 4, 8, 12)
MEMBER_SIZES = (3, 7, 14, 28)


def fit(name, unit, points):
    """Print the line through some points.

    Args:
      name, unit: Strs for the row.
      points: A list of pairs of size and value.
    """
    sizes = [size for size, _ in points]
    values = [value for _, value in points]
    slope, intercept = statistics.linear_regression(sizes, values)
    residuals = [abs(v - slope * s - intercept) for s, v in points]
    noise = max(residuals) / max(abs(v) for v in values)
    shown = ", ".join(f"{size}: {value:.3g}" for size, value in points)
    print(
        f"{name:<44} {slope:.4g} {unit} each + {intercept:.4g}, "
        f"residual {noise:.0%} ({shown})"
    )


def measure_bytes(make):
    """Measure the memory that what is made keeps, in bytes."""
    gc.collect()
    tracemalloc.start()
    kept = make()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size


def measure_ms(action):
    """Measure the median time of an action, in milliseconds."""
    spans = []
    for _ in range(REPEATS):
        start = time.perf_counter()
        action()
        spans.append((time.perf_counter() - start) * 1000)
    return statistics.median(spans)


def make_report(runs):
    """Make the report of a worker with some runs."""
    listed = [
        model.RunReport(f"r{n}", f"job/{n}", model.RunState.RUNNING, 1.0, 512, 0, 5000)
        for n in range(runs)
    ]
    return model.WorkerReport("i", 64.0, 262_144, 4, "r1", "h1", listed)


def make_placer(workers, tasks=TASKS):
    """Make a placer with workers and tasks running on them."""
    made = placer.Placer("i")
    job = schema.Job("t", "p", tasks=tasks, cores=0.5, run_ms=3_600_000)
    tiers = {"t": schema.Tier(1), "u": schema.Tier(9)}
    made.take_config(compiling.Config(1, tiers, {}, {}, {"j": job}))
    for n in range(workers):
        made.take_report(f"10.0.{n // 250}.{n % 250}:80", make_report(0), 0.0)
    made.place(0.0)
    return made


def measure_placement():
    """Placement: decision time and memory by workers and tasks."""
    decisions = []
    for workers in WORKER_SIZES:
        made = make_placer(workers, tasks=min(TASKS, workers * 100))
        spans = []
        for n in range(300):
            job = schema.Job("u", "p", cores=0.5)
            config = compiling.Config(
                1, {"u": schema.Tier(9)}, {}, {}, {f"one{n}": job}
            )
            made.take_config(config)
            start = time.perf_counter()
            made.place(0.0)
            spans.append((time.perf_counter() - start) * 1000)
        spans.sort()
        print(
            f"placement decision, {workers} workers: p50 {spans[150]:.3f} ms, "
            f"p99 {spans[297]:.3f} ms"
        )
        decisions.append((workers, spans[150]))
    fit("placement decision by worker", "ms", decisions)
    sizes = [(n, measure_bytes(lambda n=n: make_placer(n, 0))) for n in WORKER_SIZES]
    fit("placer memory by worker", "B", sizes)
    tasks = (1000, 2700, 5400)
    sizes = [(n, measure_bytes(lambda n=n: make_placer(100, n))) for n in tasks]
    fit("placer memory by task running", "B", sizes)
    spans = []
    for runs in (0, 5, 20, 50):
        made = placer.Placer("i")
        report = make_report(runs)
        made.take_report("w", report, 0.0)
        spans.append(
            (runs, measure_ms(lambda m=made, r=report: m.take_report("w", r, 1.0)))
        )
    fit("taking a worker's report by run", "ms", spans)
    made = make_placer(240)
    print(f"renewing {TASKS} leases: {measure_ms(lambda: made.renew(0.0)):.2f} ms")


def make_tree(branches):
    """Make a tree of teams."""
    by_path = {"tiers/t": {"price": "1"}, "workspaces": {"tiers": "t"}}
    for n in range(branches):
        by_path[f"workspaces/team-{n}"] = {"cores": str(n + 1), "requests": "100"}
    return tree.Tree(1, "e", by_path)


def measure_settings():
    """Settings: bytes, time to take into force, and memory by branch."""
    sizes = [(n, len(tree.encode_tree(make_tree(n)))) for n in BRANCH_SIZES]
    fit("stored tree by branch", "B", sizes)

    def compile_it(n):
        made = make_tree(n)
        return compiling.compile_tree(1, made.by_path)

    fit(
        "taking settings into force by branch",
        "ms",
        [(n, measure_ms(lambda n=n: compile_it(n))) for n in BRANCH_SIZES],
    )
    fit(
        "settings in memory by branch",
        "B",
        [(n, measure_bytes(lambda n=n: compile_it(n))) for n in BRANCH_SIZES],
    )


def make_ring(members):
    """Make a ring."""
    ring = record.NO_RING
    for n in range(members):
        name = f"entry-{n}.0123456789ab"
        me = record.Member(
            name, f"10.0.0.{n}:1", f"10.0.0.{n}:2", f"vm{n}", f"h{n % 4}"
        )
        ring = record.add_member(ring, me, 0, 0)
    return ring


def measure_keys():
    """Keys: memory and time by record."""

    def fill(n):
        ring = make_ring(1)
        made = holder.Holder(ring.member_ids[0])
        made.take_ring(ring, 0.0)
        for key in range(n):
            claim = messages.Claim(1, f"press/{key:032d}", f"c{key}", b"d" * 16, 10**6)
            made.take_claim(claim, True, 0.0)
        return made

    sizes = [(n, measure_bytes(lambda n=n: fill(n))) for n in RECORD_SIZES]
    fit("key memory by record", "B", sizes)
    spans = [(n, measure_ms(lambda n=n: fill(n))) for n in RECORD_SIZES]
    fit("voting on a claim", "ms", spans)


def measure_sharing():
    """Slot sharing: time and bytes a second at one entry by members."""
    frames = codec.Codec(loans.Demand | loans.Grants | guard.Beat | guard.Ack)
    backends = {
        f"10.1.0.{n}:80": ledgers.Backend(f"10.1.0.{n}:80", "s", 8, 2.0)
        for n in range(24)
    }
    spans = []
    sizes = []
    for members in MEMBER_SIZES:
        ring = make_ring(members)
        me = homes.Homes(ring).find("10.1.0.0:80")
        made = lender.Lender(me)
        first = record.Ring(1, ring.members)
        made.take_ring(first, 0.0)
        for other in ring.member_ids:
            made.take_handoff(other, loans.Handoff(1), 0.0)
        made.take_backends(backends, 0.0)
        mine = made.list_addresses()
        holds = {address: loans.Hold(1, 1) for address in mine}
        now = iter(range(1, 10**6))

        def tick(made=made, ring=ring, holds=holds, now=now):
            at = next(now) / 1000
            for borrower in ring.member_ids:
                demand = {"s": {1: 20, 10: 5}}
                said = loans.Demand(at, demand, holds)
                made.take_demand(borrower, said, at)
            made.rebalance(at)

        tick()
        spans.append((members, measure_ms(tick)))
        demand = frames.encode(loans.Demand(1.0, {"s": {1: 20, 10: 5}}, holds))
        beat = frames.encode(guard.Beat(1.0, 1, 1))
        sizes.append((members, len(demand) + len(beat)))
    fit("one telling of all demands to a home", "ms", spans)
    print("bytes of a demand and a beat by members:", sizes)


def read_rss_mb(path="/proc/self/status"):
    """Read resident memory."""
    line = next(x for x in pathlib.Path(path).read_text().splitlines() if "VmRSS" in x)
    return int(line.split()[1]) / 1024


def measure_processes():
    """Resident memory, processor time and bytes of idle daemons."""
    from bench import requests
    from tests import harness

    cell = requests.make_cell(2)
    try:
        names = [f"entry-{n}" for n in range(4)]
        # The defaults of production, not the haste of the tests.
        pace = {"vms_period_s": 5.0, "beat_s": 0.5, "lease_s": 2.0}
        for name in names:
            cell.start_entry(name, **pace)
        cell.start_placer("placer-1", **pace)
        cell.wait_ready(*names)
        cell.wait_slots(16, *names)
        before = {n: requests.read_cpu_s(cell.by_name[n]) for n in cell.by_name}
        counts = harness.call_json("GET", cell.url("kv", "/counts"))
        status = harness.call_json("GET", cell.url("entry-0", "/v1/status"))
        time.sleep(MEASURED_S)
        later = harness.call_json("GET", cell.url("entry-0", "/v1/status"))
        calls = harness.call_json("GET", cell.url("kv", "/counts"))
        for name in ("entry-0", "placer-1"):
            cpu = requests.read_cpu_s(cell.by_name[name]) - before[name]
            pid = cell.by_name[name].popen.pid
            rss = read_rss_mb(f"/proc/{pid}/status")
            print(
                f"{name} idle: {rss:.1f} MB resident, {cpu / MEASURED_S:.2%} of a core"
            )
        sent = (
            later["counts"]["peers.sent_bytes"] - status["counts"]["peers.sent_bytes"]
        )
        got = (
            later["counts"]["peers.received_bytes"]
            - status["counts"]["peers.received_bytes"]
        )
        print(
            f"entry-0 of 4, idle: {sent / MEASURED_S:.0f} B/s sent, "
            f"{got / MEASURED_S:.0f} B/s got"
        )
        moved = {k: calls[k] - counts.get(k, 0) for k in calls}
        print(f"store calls of 4 entries and a placer in {MEASURED_S} s, idle: {moved}")
    finally:
        cell.close()


def measure_polling():
    """Processor time and bytes of a placer by workers polled."""
    from bench import requests
    from tests import harness

    points = []
    for workers in POLLED_SIZES:
        cell = harness.Cell()
        try:
            cell.start_platform()
            for n in range(workers):
                cell.start_worker(f"worker-{n}", rack=f"r{n}")
            process = cell.start_placer("placer-1")
            process.wait_for("event=begin-deciding")
            time.sleep(2)
            before = requests.read_cpu_s(process)
            time.sleep(MEASURED_S)
            used = requests.read_cpu_s(process) - before
            points.append((workers, used / MEASURED_S * 100))
        finally:
            cell.close()
    fit("placer by worker polled twice a second", "% of a core", points)


def main():
    """Print every slope."""
    measure_placement()
    measure_settings()
    measure_keys()
    measure_sharing()
    measure_processes()
    measure_polling()


if __name__ == "__main__":
    main()
