"""Many short tasks end at a worker at one moment, in two other forms of the case.

With FORM=kill the owner of the cell is killed, with FORM=store the store is down.
"""

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

from review import cell, standin, twice

# With TROUBLE=0 the case does the same without the disruption.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
IS_STORE_DOWN = os.environ["FORM"] == "store"
SCHEDULERS = 6
WORKERS = 24
# Handed in one after another: the starts of one job need 41 of a worker's connections.
JOBS = 30
TASKS = 40
GAP_S = 0.08
LAST_RUN_S = 4.0  # of the tasks of the last job; all tasks end at one moment
BEFORE_S = 0.2  # from the disruption to that moment
DOWN_S = 4.5
WAIT_S = 45
DEMAND = {"cpu": 100, "mem_mb": 100}


async def run(world, has_trouble):
    """Run the case; returns what broke the rule."""
    await world.start(WORKERS)
    world.store.write("op/config", cell.make_config(1))
    schedulers = cell.Cell(world, SCHEDULERS)
    loop = asyncio.get_running_loop()
    try:
        await schedulers.start_all()
        began_at = loop.time()
        over_at = began_at + JOBS * GAP_S + LAST_RUN_S
        submitting = [
            submit(schedulers, number, began_at + number * GAP_S, over_at)
            for number in range(JOBS)
        ]
        ids = await asyncio.gather(*submitting)
        await cell.wait_until(lambda: len(world.runs) >= JOBS * TASKS, "starts", 4)
        await asyncio.sleep(over_at - BEFORE_S - loop.time())
        if any(run.how for run in world.runs):
            raise cell.NotRun("a task ended too early")
        if has_trouble and IS_STORE_DOWN:
            await take_store_down(world)
        elif has_trouble:
            await schedulers.kill(world.find_owner())
        await cell.wait_over(schedulers, ids, "builds", WAIT_S)
        await asyncio.sleep(2)
    finally:
        schedulers.close()
    return twice.find_repeated(world)


async def submit(schedulers, number, at, over_at):
    """Hand a job in at its time; returns its ID."""
    loop = asyncio.get_running_loop()
    await asyncio.sleep(max(0.0, at - loop.time()))
    names = list(schedulers.addresses)
    job_id = f"{number + 1:016x}"
    run_ms = int((over_at - loop.time()) * 1000)
    step = {"count": TASKS, "est_runtime_ms": run_ms} | DEMAND
    body = {"spec": "text", "steps": [step]}
    name = names[number % len(names)]
    status, _ = await schedulers.call(name, "POST", "builds", job_id, body)
    if status != 200:
        raise cell.NotRun(f"job {job_id} was answered {status}")
    return job_id


async def take_store_down(world):
    """Let the store say nothing for a while; leases run out meanwhile."""

    async def be_silent(*_):
        raise standin.Silence

    world.note("the store is down")
    world.store.server.silence_open()
    world.store.trouble = be_silent
    await asyncio.sleep(DOWN_S)
    world.store.trouble = None
    world.note("the store is back")


cell.main(run, pathlib.Path(__file__).parent, HAS_TROUBLE)
