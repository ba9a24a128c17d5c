"""Many short tasks end at a worker while the owner of the cell is killed."""

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
JOBS = 6
TASKS = 200
RUN_MS = 4000
WAIT_S = 45
KILL_S = 0.3  # from the first end to the kill
STEP = {"count": TASKS, "cpu": 100, "mem_mb": 100, "est_runtime_ms": RUN_MS}


async def run(world, has_trouble):
    """Run the case; returns what broke the rule."""
    await world.start(WORKERS)
    world.store.write("op/config", cell.make_config(1))
    schedulers = cell.Cell(world, SCHEDULERS)
    try:
        await schedulers.start_all()
        ids = await submit(schedulers)
        await cell.wait_until(lambda: len(world.runs) >= JOBS * TASKS, "starts", 15)
        await cell.wait_until(
            lambda: any(run.how for run in world.runs), "the first end", 15
        )
        if has_trouble:
            await asyncio.sleep(KILL_S)
            await schedulers.kill(world.find_owner())
        await wait_over(schedulers, ids)
        await asyncio.sleep(2)
    finally:
        schedulers.close()
    return find_repeated(world)


async def submit(schedulers):
    """Hand the jobs in, each at another scheduler."""
    ids = [f"{number:016x}" for number in range(1, JOBS + 1)]
    names = list(schedulers.addresses)
    for number, job_id in enumerate(ids):
        name = names[number % len(names)]
        body = {"spec": "text", "steps": [STEP]}
        status, _ = await schedulers.call(name, "POST", "builds", job_id, body)
        if status != 200:
            raise cell.NotRun(f"job {job_id} was answered {status}")
    return ids


async def wait_over(schedulers, ids):
    """Wait until all jobs are shown as over, or for as long as there is."""
    names = list(schedulers.addresses)
    left = set(ids)
    for number in range(WAIT_S):
        for job_id in sorted(left):
            name = names[number % len(names)]
            _, body = await schedulers.call(name, "GET", "builds", job_id)
            if body and body.get("state") in ("succeeded", "failed", "cancelled"):
                left.discard(job_id)
        if not left:
            return
        await asyncio.sleep(1)


def find_repeated(world):
    """List the starts of tasks after a run that ended `done`, if that end was noted.

    An end does not count if the worker's lease lapsed before it was noted.
    """
    broken = []
    done_by_task = {}
    for one in world.runs:
        counts = one.how == "done" and one.noted_at and not one.lapsed_before_noted
        if counts and one.task not in done_by_task:
            done_by_task[one.task] = one
    for one in world.runs:
        done = done_by_task.get(one.task)
        if done is not None and one.began_at > done.ended_at:
            broken.append(
                f"TWICE: {one.describe()} began {one.began_at - done.ended_at:.3f} s"
                f" after {done.describe()} ended done, noted later"
            )
    return broken


cell.main(run, pathlib.Path(__file__).parent, HAS_TROUBLE)
