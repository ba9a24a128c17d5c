"""A stand-in for a minion, as PROTOCOL.md states it."""

import asyncio
import contextlib
import json
import time

from review.rig3 import http11

TICK_S = 0.02
MAX_LISTED_ENDS = 500
SAVE_MS = 1000
START_MS = 100  # of a task that lasts, until it is at work


class Run:
    """A run on a minion."""

    def __init__(self, task, number, step, work_ms, began_ms):
        """Begin."""
        self.task = task
        self.number = number
        self.step = step
        self.work_ms = work_ms
        self.began_ms = began_ms
        self.came_ms = began_ms
        self.pace = 100
        self.checkpoint = ""
        self.gang = None

    def percent(self, clock_ms):
        """How far it is."""
        if self.gang is not None and not self.gang.is_whole:
            return 0
        if self.step.get("long_running"):
            return 100 if clock_ms - self.began_ms >= START_MS else 0
        return min(99, int(100 * (clock_ms - self.began_ms) / max(1, self.work_ms)))


class Gang:
    """One run of a gang."""

    def __init__(self, count):
        """Begin without members."""
        self.count = count
        self.members = {}
        self.is_whole = False


class Minion:
    """One life of a minion."""

    def __init__(self, world, minion_id, cpu, mem_mb, labels, max_hold_ms=6000):
        """Begin; `world` tells the steps of jobs and takes notes."""
        self.world = world
        self.id = minion_id
        self.capacity = {"cpu": cpu, "mem_mb": mem_mb}
        self.labels = labels
        self.max_hold_ms = max_hold_ms
        self.born = time.monotonic() - 1.0
        self.token = 0
        self.deadline_ms = 0
        self.running = {}
        self.barred = {}
        self.ended = []
        self.number = 0
        self.ends = asyncio.Event()
        self.lost_share = 0.0
        self.server = http11.Server(self.answer)

    def clock_ms(self):
        """The steady clock of this life."""
        return int((time.monotonic() - self.born) * 1000)

    def entry(self):
        """What it keeps in the store."""
        return json.dumps(
            {
                "service": self.world.service,
                "address": self.server.address,
                "zone": "nyarugenge",
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold_remaining_ms": 0,
                "capacity": self.capacity,
                "labels": self.labels,
                "seq": 1,
            }
        ).encode()

    async def live(self):
        """Let runs end, for as long as the task lasts."""
        while True:
            clock_ms = self.clock_ms()
            for run in list(self.running.values()):
                if run.task in self.running:
                    self.advance(run, clock_ms)
            if self.running and clock_ms >= self.deadline_ms:
                for run in list(self.running.values()):
                    self.end(run, "lapsed")
            await asyncio.sleep(TICK_S)

    def advance(self, run, clock_ms):
        """Let a run end if it is due."""
        if run.gang is not None and not run.gang.is_whole:
            if clock_ms - run.came_ms >= self.world.gang_ms:
                self.end(run, "alone")
            return
        is_lasting = run.step.get("long_running")
        if not is_lasting and clock_ms - run.began_ms >= run.work_ms:
            how = self.world.choose_end(run)
            others = [] if run.gang is None else list(run.gang.members.values())
            self.end(run, how)
            for other, member in others:
                if other.running.get(member.task) is member:
                    other.end(member, "done" if how == "done" else "broken")

    def end(self, run, how):
        """End a run; the others of a gang that works end with it."""
        del self.running[run.task]
        gang = run.gang
        if gang is not None:
            gang.members.pop(run.task, None)
            if gang.is_whole and how not in ("done", "failed"):
                for other, member in list(gang.members.values()):
                    if other.running.get(member.task) is member:
                        gang.is_whole = False
                        other.end(member, "broken")
        self.barred[run.task] = max(run.number, self.barred.get(run.task, 0))
        self.number += 1
        saved = self.save(run, self.clock_ms()) if how == "stopped" else ""
        self.ended.append([self.number, run.task, run.number, how, saved])
        self.ends.set()
        self.world.note_end(self, run, how)

    def grant(self, deadline_ms):
        """Take a deadline, cut to the longest lease."""
        deadline_ms = min(deadline_ms, self.clock_ms() + self.max_hold_ms)
        self.deadline_ms = max(self.deadline_ms, deadline_ms)

    async def answer(self, method, target, headers, body):
        """Carry out a call; its answer may be lost."""
        answer = await self.handle(method, target, headers, body)
        if self.lost_share and self.world.random.random() < self.lost_share:
            self.world.note_lost_answer(self, target, body)
            raise http11.Silence
        return answer

    async def handle(self, _method, target, headers, body):
        """Carry out a call."""
        expected = headers.get("thornport-expect-instance")
        if expected not in (None, self.id):
            return 421, {"clock_ms": self.clock_ms()}
        call = json.loads(body) if body else {}
        token = call.get("fencing_token", 0)
        if token < self.token:
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        self.token = token
        if target == "/-/run-start":
            return self.start(call)
        if target == "/-/run-stop":
            return self.stop(call)
        if target == "/-/hold":
            return await self.hold(call)
        if target == "/-/pace":
            return self.set_pace(call)
        return 404, {}

    def start(self, call):
        """Carry out a start."""
        clock_ms = self.clock_ms()
        if call["deadline_ms"] <= clock_ms:
            return 409, {"clock_ms": clock_ms, "reason": "late"}
        self.grant(call["deadline_ms"])
        task, number = call["task"], call["run"]
        known = self.running.get(task)
        if known is not None and known.number == number:
            return 200, {"clock_ms": clock_ms}
        if known is not None or number <= self.barred.get(task, 0):
            return 409, {"clock_ms": clock_ms, "reason": "old"}
        step, work_ms = self.world.find_step(task)
        run = Run(task, number, step, work_ms, clock_ms)
        run.checkpoint = call.get("checkpoint", "")
        self.running[task] = run
        if step.get("gang"):
            gang = self.world.find_gang(task, number, step["count"])
            run.gang = gang
            gang.members[task] = (self, run)
            if len(gang.members) == gang.count:
                gang.is_whole = True
                for other, member in gang.members.values():
                    member.began_ms = other.clock_ms()
        self.world.note_start(self, run, call)
        return 200, {"clock_ms": clock_ms}

    def stop(self, call):
        """Carry out a stop."""
        run = self.running.get(call["task"])
        if run is not None and run.number == call["run"]:
            self.end(run, "stopped")
        known = self.barred.get(call["task"], 0)
        self.barred[call["task"]] = max(call["run"], known)
        return 200, {"clock_ms": self.clock_ms()}

    def set_pace(self, call):
        """Carry out a pace."""
        run = self.running.get(call["task"])
        if run is None or run.number != call["run"]:
            return 404, {"clock_ms": self.clock_ms()}
        run.pace = call["percent"]
        return 200, {"clock_ms": self.clock_ms()}

    async def hold(self, call):
        """Renew the lease, tell what runs and ended."""
        if call.get("deadline_ms"):
            self.grant(call["deadline_ms"])
        last_seen = call.get("last_seen", 0)
        self.ended = [row for row in self.ended if row[0] > last_seen]
        until = time.monotonic() + call.get("wait_ms", 0) / 1000
        while not self.ended and time.monotonic() < until:
            self.ends.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.ends.wait(), until - time.monotonic())
        clock_ms = self.clock_ms()
        rows = [
            [
                run.task,
                run.number,
                self.save(run, clock_ms),
                run.percent(clock_ms),
                self.load(run),
            ]
            for run in self.running.values()
        ]
        ended = self.ended[:MAX_LISTED_ENDS]
        return 200, {"clock_ms": clock_ms, "running": rows, "ended": ended}

    def save(self, run, clock_ms):
        """The checkpoint of a run, renewed with each second of work."""
        worked_s = (clock_ms - run.began_ms) // SAVE_MS
        if not run.step.get("checkpointing") or worked_s < 1:
            return run.checkpoint
        text = f"{run.task}:{run.number}:{worked_s}:"
        return text + "0" * (self.world.checkpoint_bytes - len(text))

    def load(self, run):
        """The fifth entry of a row: the tail of what serves, else the cpu in use."""
        target_ms = run.step.get("target_ms", 0)
        return target_ms // 4 if target_ms else run.step.get("cpu", 0)

    def used(self, name):
        """What counts against its room: the cpu of what fills does not."""
        return sum(
            run.step.get(name, 0)
            for run in self.running.values()
            if not (name == "cpu" and run.step.get("fills"))
        )
