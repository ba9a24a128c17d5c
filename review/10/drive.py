"""A job that is due each four hours since 1970 is handed in; do others still run?"""

import asyncio
import os
import pathlib
import sys
import time

from review.rig3 import world

HERE = pathlib.Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
INTERVAL_MS = 4 * 3_600_000
TIMES = 150_000  # until 2038; some 124,800 were due by the end of 2026
PHOTOS = 10
FINISH_S = 14.0  # `finish_s` of the sheet
PHOTO = {
    "spec": "photo",
    "steps": [{"count": 2, "cpu": 5600, "mem_mb": 10_000, "est_runtime_ms": 640}],
}


async def hand_in_photos(at):
    """Hand in photos, one each second.

    Returns:
      Pairs of ID and time of those that were accepted.
    """
    accepted = []

    async def hand_in():
        job_id = await at.submit("photo", PHOTO, 640)
        if job_id is not None:
            accepted.append((job_id, time.monotonic()))

    handing = []
    for _ in range(PHOTOS):
        handing.append(asyncio.create_task(hand_in()))
        await asyncio.sleep(1.0)
    await asyncio.gather(*handing)
    return accepted


async def case(at):
    """Play the case; return whether the rule held."""
    await at.start()
    await at.configure({"index": {"priority": 2}, "photo": {"priority": 0}})
    await at.wait_ready()
    # Without the trouble the first time is the next one: nothing is due yet.
    next_ms = (int(time.time() * 1000) // INTERVAL_MS + 1) * INTERVAL_MS
    timed = {
        "spec": "index",
        "repeats": TIMES,
        "interval_ms": INTERVAL_MS,
        "steps": [{"count": 1, "cpu": 3900, "mem_mb": 7200, "est_runtime_ms": 2200}],
    }
    if not TROUBLE:
        timed["start_at_ms"] = next_ms
    # The node that takes it may be the first to stand still, and leave it unanswered.
    await at.submit("index", timed, 2200)
    accepted = await hand_in_photos(at)
    await asyncio.sleep(FINISH_S)
    if not accepted:
        raise world.CaseError("no photo was accepted")
    late = at.list_begun_late(accepted, FINISH_S)
    at.record(f"{len(accepted)} photos accepted, {len(late)} not begun in {FINISH_S} s")
    for job_id in late[:3]:
        at.record(f"{job_id} shows as {await at.read_state('photo', job_id)!r}")
    return not late


if __name__ == "__main__":
    sys.exit(asyncio.run(world.play(HERE / "record.txt", case)))
