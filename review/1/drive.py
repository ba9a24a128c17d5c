"""One start of many is left unanswered by its worker and carried out late."""

import asyncio
import functools
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

from review import cell, standin, twice

# With TROUBLE=0 the case does the same without the disruption.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SCHEDULERS = 6
WORKERS = 24
# The load: a job every 0.2 s, with tasks as in the first step that the pages print, but
# 20 of them; 100 tasks a second.
JOBS = 70
GAP_S = 0.2
STEP = {"count": 20, "cpu": 500, "mem_mb": 256, "est_runtime_ms": 900}
TROUBLE_S = 2.0  # from the first job to the unanswered start
LATE_S = 2.0
WAIT_S = 30
LAST_ENDS_S = 6  # until the last ends are acknowledged


async def run(world, has_trouble):
    """Run the case; returns what broke the rule."""
    await world.start(WORKERS)
    world.store.write("op/config", cell.make_config(1))
    schedulers = cell.Cell(world, SCHEDULERS)
    loop = asyncio.get_running_loop()
    try:
        await schedulers.start_all()
        began_at = loop.time()
        if has_trouble:
            loop.call_later(TROUBLE_S, leave_one_unanswered, world)
        submitting = [
            submit(schedulers, number, began_at + number * GAP_S)
            for number in range(JOBS)
        ]
        ids = await asyncio.gather(*submitting)
        await cell.wait_over(schedulers, ids, "builds", WAIT_S)
        await asyncio.sleep(LAST_ENDS_S)
    finally:
        schedulers.close()
    return twice.find_repeated(world)


async def submit(schedulers, number, at):
    """Hand a job in at its time; returns its ID."""
    await asyncio.sleep(max(0.0, at - asyncio.get_running_loop().time()))
    names = list(schedulers.addresses)
    job_id = f"{number + 1:016x}"
    name = names[number % len(names)]
    body = {"spec": "text", "steps": [STEP]}
    status, _ = await schedulers.call(name, "POST", "builds", job_id, body)
    if status != 200:
        raise cell.NotRun(f"job {job_id} was answered {status}")
    return job_id


def leave_one_unanswered(world):
    """Let one worker leave the next start unanswered and carry it out later."""

    async def leave_unanswered(worker, _method, path, order):
        if path != "/-/run-start":
            return
        for other in world.workers:
            other.trouble = None
        world.note(f"unanswered {order['task']} run {order['run']}")
        loop = asyncio.get_running_loop()
        loop.call_later(LATE_S, worker.carry_out_late, order)
        raise standin.Silence

    for worker in world.workers:
        worker.trouble = functools.partial(leave_unanswered, worker)


cell.main(run, pathlib.Path(__file__).parent, HAS_TROUBLE)
