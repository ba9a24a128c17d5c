"""Jobs that have not begun are not counted as waiting after a change of owner."""

import asyncio
import os
import pathlib
import signal

import deployment

# With TROUBLE=0 the case does the same without the disruption.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
JOBS = 4
LABEL = "b"  # of the one minion that may run them
GREY_S = 6.4  # for so long this minion refuses all starts
KILL_AT_S = 2.2
RESTART_S = 1.0
COUNTED_S = deployment.BOUNDS["visible_ms"] / 1000 + 2.0


class Minion(deployment.Minion):
    """A minion that may be unhealthy: it refuses starts and has done nothing."""

    is_grey = False

    def make_entry(self, seq):
        """Its account of itself; the first one is of another kind."""
        entry = super().make_entry(seq)
        if self.number == 0:
            entry["labels"][0] = LABEL
        return entry

    def _start(self, wire):
        if self.is_grey:
            self.world.record.note("503 to a start of", wire["task"], "on", self.id)
            return 503, {}
        return super()._start(wire)


class World(deployment.World):
    """A deployment of minions that may be unhealthy."""

    make_minion = Minion


async def play(world, has_trouble):
    """Hand in jobs for an unhealthy minion, kill the owner, and ask for the count.

    Returns:
      A str: how the rule was broken; empty if it held.
    """
    began_at = world.record.now()
    minion = world.minions[0]
    minion.is_grey = has_trouble
    step = {"count": 1, "cpu": 1000, "mem_mb": 10, "est_runtime_ms": 500}
    step["constraints"] = LABEL
    job_ids = []
    for _ in range(JOBS):
        job_id, _ = await world.submit([step], [{"ms": 500, "how": "done"}])
        job_ids.append(job_id)
    await asyncio.sleep(began_at + KILL_AT_S - world.record.now())
    owner = world.find_owner()
    if has_trouble:
        owner.signal(signal.SIGKILL)
        await owner.popen.wait()
        await asyncio.sleep(RESTART_S)
        await owner.start()
    broken = []
    while world.record.now() < began_at + GREY_S:
        await asyncio.sleep(0.2)
        for scheduler in world.schedulers:
            if scheduler is not owner:
                broken += await find_undercount(world, scheduler, job_ids)
    minion.is_grey = False
    await asyncio.sleep(5.0)
    for job_id in job_ids:
        await world.ask(job_id, world.schedulers[0])
    return f"MIXED, {len(broken)} answers: {broken[0]}" if broken else ""


async def find_undercount(world, scheduler, job_ids):
    """Ask for the count of jobs that wait.

    Returns:
      A list of str: how the answer breaks the rule, empty if it doesn't.
    """
    status, body = await deployment.call(scheduler.front, "GET", "/editions/")
    now = world.record.now()
    world.record.note("GET /editions/ at", scheduler.name, "->", status, body)
    begun = {name.split(".")[0] for _, name, _, _ in world.starts}
    waiting = [
        job_id
        for job_id in job_ids
        if job_id not in begun
        and now - world.jobs[job_id].get("accepted_at", now) > COUNTED_S
    ]
    if status != 200 or body["waiting"] >= len(waiting) / 2:
        return []
    return [
        f"at {now:.3f} {scheduler.name} gives {body['waiting']} as waiting, where "
        f"{len(waiting)} have been accepted over {COUNTED_S:.0f} s ago and not begun"
    ]


deployment.run(
    play, pathlib.Path(__file__).parent, HAS_TROUBLE, world_type=World, minions=8
)
