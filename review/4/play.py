"""A job runs after its DELETE was answered, as a frozen process keeps it later."""

import asyncio
import os
import pathlib
import signal

import deployment

# With TROUBLE=0 the case does the same without the disruption.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FREEZE_S = 4.0
DEADLINE_S = 3.0  # of the caller, who hands the job in while the process is frozen
FIRST_MS = 5000  # the first step still runs when the time to cancel is over


async def play(world, has_trouble):
    """Hand a job in at a process that is frozen, give up, and cancel elsewhere.

    Returns:
      A str: how the rule was broken; empty if it held.
    """
    owner = world.find_owner()
    frozen, other, _ = sorted(world.schedulers, key=lambda one: one is owner)
    if has_trouble:
        frozen.signal(signal.SIGSTOP)
        asyncio.get_running_loop().call_later(FREEZE_S, frozen.signal, signal.SIGCONT)
    await asyncio.sleep(0.2)
    began_at = world.record.now()
    job_id = f"{1:016x}"
    step = {"count": 2, "cpu": 1000, "mem_mb": 10}
    steps = [
        step | {"est_runtime_ms": FIRST_MS},
        step | {"est_runtime_ms": 500, "after": [0]},
    ]
    works = [{"ms": FIRST_MS, "how": "done"}, {"ms": 500, "how": "done"}]
    world.jobs[job_id] = {"works": works}
    status, _ = await deployment.call(
        frozen.front,
        "POST",
        f"/editions/{job_id}",
        {"spec": "a text", "steps": steps},
        DEADLINE_S,
        [("Thornport-Deadline-Ms", str(int(DEADLINE_S * 1000)))],
    )
    world.record.note("POST", job_id, "at", frozen.name, "->", status)
    await asyncio.sleep(began_at + DEADLINE_S - world.record.now())
    status = await world.cancel(job_id, other)
    acknowledged_at = world.record.now()
    await asyncio.sleep(12.0)
    _, state = await world.ask(job_id, other)
    allowed_until = acknowledged_at + deployment.BOUNDS["cancel_ms"] / 1000
    late = [(at, name) for at, name, _, _ in world.starts if at > allowed_until]
    if status not in (200, 410) or not late:
        return ""
    at, name = late[0]
    return (
        f"UNASKED: the DELETE was answered with {status} at {acknowledged_at:.3f}; "
        f"{name} was started at {at:.3f}, and the job is {state}"
    )


deployment.run(play, pathlib.Path(__file__).parent, HAS_TROUBLE, minions=8)
