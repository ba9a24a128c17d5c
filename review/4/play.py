"""A schedule with many times that are due at once stops the whole cell."""

import asyncio
import pathlib
import time

import deployment

TIMES = 86_400  # each second of a day, handed in when the day is over
MINIONS = 12
CORES = 16
TRAFFIC_S = 12.0
CALM_S = 3.0  # the rule's time without a task


async def play(world, has_trouble):
    """Hand in a schedule, then small jobs.

    Returns:
      A str: how the rule was broken; empty if it held.
    """
    small = {"count": 1, "cpu": 100, "mem_mb": 10, "est_runtime_ms": 200}
    if has_trouble:
        await world.submit(
            [small],
            [{"ms": 200, "how": "done"}],
            repeats=TIMES,
            start_at_ms=int(time.time() * 1000) - TIMES * 1000,
            interval_ms=1000,
        )
        await asyncio.sleep(3.0)
    job_ids = []
    until = world.record.now() + TRAFFIC_S
    while world.record.now() < until:
        job_id, status = await world.submit(
            [small | {"count": 2}], [{"ms": 200, "how": "done"}]
        )
        if status == 200:
            job_ids.append(job_id)
        await asyncio.sleep(1.0)
    # The traffic ends here.
    await asyncio.sleep(deployment.BOUNDS["finish_s"])
    began_at = world.record.now()
    shares = []
    while world.record.now() < began_at + CALM_S + 1.0:
        shares.append(read_used_share(world))
        await asyncio.sleep(0.1)
    for scheduler in world.schedulers:
        note_process(world, scheduler)
    never = [
        job_id
        for job_id in job_ids
        if not any(name.startswith(job_id) for _, name, _, _ in world.starts)
    ]
    states = [await world.ask(job_id) for job_id in never]
    if not never or max(shares) >= 0.5:
        return ""
    return (
        f"LOST: {len(never)} of {len(job_ids)} accepted jobs never began; asked, they "
        f"are {states}; at most {max(shares):.0%} of the service is in use"
    )


def read_used_share(world):
    """The share of the service's cores in use: each task here takes a tenth."""
    running = sum(len(minion.running) for minion in world.minions)
    return running * 0.1 / (MINIONS * CORES)


def note_process(world, scheduler):
    """Note the memory of a process, and how often it became the owner."""
    lines = pathlib.Path(f"/proc/{scheduler.popen.pid}/status").read_text().splitlines()
    peak = next(line.split(":")[1].strip() for line in lines if "VmHWM" in line)
    owned = scheduler.read_log().count("event=deciding")
    world.record.note(scheduler.name, "peak memory", peak, "became owner", owned)


deployment.run(play, pathlib.Path(__file__).parent, minions=MINIONS, cores=CORES)
