"""A scheduler is frozen with a job in its socket, which its caller then cancels."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

from review import cell

SCHEDULERS = 6
WORKERS = 24
FREEZE_S = 4.0
CANCEL_S = 3.0  # bound `cancel_ms`
JOB_ID = "00000000000000a1"
JOB = {
    "spec": "text",
    "steps": [
        {"count": 2, "cpu": 4000, "mem_mb": 100, "est_runtime_ms": 4000},
        {"count": 2, "cpu": 4000, "mem_mb": 100, "est_runtime_ms": 1000, "after": [0]},
    ],
}


async def run(world, has_trouble):
    """Run the case; returns what broke the rule."""
    await world.start(WORKERS)
    world.store.write("op/config", cell.make_config(1))
    schedulers = cell.Cell(world, SCHEDULERS)
    try:
        await schedulers.start_all()
        owner = world.find_owner()
        frozen, other = [name for name in schedulers.addresses if name != owner][:2]
        if has_trouble:
            schedulers.signal(frozen, signal.SIGSTOP)
            asyncio.get_running_loop().call_later(
                FREEZE_S, schedulers.signal, frozen, signal.SIGCONT
            )
        await schedulers.call(frozen, "POST", "builds", JOB_ID, JOB)
        acknowledged_at = await cancel(schedulers, other)
        await asyncio.sleep(12)
        await schedulers.call(other, "GET", "builds", JOB_ID)
    finally:
        schedulers.close()
    return [
        f"UNASKED: {one.describe()} began {one.began_at - acknowledged_at:.3f} s"
        " after the cancelling was acknowledged"
        for one in world.runs
        if one.began_at > acknowledged_at + CANCEL_S
    ]


async def cancel(schedulers, name):
    """Cancel the job until that is acknowledged; returns when it was."""
    for _ in range(20):
        status, _ = await schedulers.call(name, "DELETE", "builds", JOB_ID)
        if status in (200, 410):
            return time.monotonic()
        await asyncio.sleep(0.1)
    raise cell.NotRun("the cancelling was never acknowledged")


cell.main(run, pathlib.Path(__file__).parent)
