"""The members of a gang start on workers that fail all that they start."""

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

from review import cell

# With TROUBLE=0 the case does the same without the disruption.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SCHEDULERS = 6
WORKERS = 24
FAILING = 3  # workers that fail all that they start, an eighth of all
FAILING_S = 6.5
JOB_ID = "00000000000000d1"
MAX_ATTEMPTS = 3
JOB = {
    "spec": "text",
    "steps": [
        {
            "count": 8,
            "cpu": 18000,
            "mem_mb": 26000,
            "est_runtime_ms": 4000,
            "gang": True,
        }
    ],
}


async def run(world, has_trouble):
    """Run the case; returns what broke the rule."""
    await world.start(WORKERS)
    world.store.write("op/config", cell.make_config(1))
    schedulers = cell.Cell(world, SCHEDULERS)
    try:
        await schedulers.start_all()
        for worker in world.workers[:FAILING]:
            worker.fails_all = has_trouble
        asyncio.get_running_loop().call_later(FAILING_S, heal, world)
        status, _ = await schedulers.call("front-0", "POST", "builds", JOB_ID, JOB)
        if status != 200:
            raise cell.NotRun(f"the job was answered {status}")
        state = await wait_over(schedulers)
    finally:
        schedulers.close()
    attempts = {one.number for one in world.runs if one.how == "failed"}
    if state == "failed" and len(attempts) < MAX_ATTEMPTS:
        return [f"LOST: shown as failed after {len(attempts)} failed runs of the gang"]
    return []


def heal(world):
    """Let the workers run their tasks again."""
    for worker in world.workers:
        worker.fails_all = False


async def wait_over(schedulers):
    """Wait until the job is shown as over; returns its state."""
    for _ in range(60):
        _, body = await schedulers.call("front-1", "GET", "builds", JOB_ID)
        state = body and body.get("state")
        if state in ("succeeded", "failed", "cancelled"):
            return state
        await asyncio.sleep(0.5)
    raise cell.NotRun("the job is not over")


cell.main(run, pathlib.Path(__file__).parent, HAS_TROUBLE)
