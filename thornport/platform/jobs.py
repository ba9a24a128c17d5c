"""Jobs as the platform's callers encode them, decoded into spec.Job."""

from typing import Annotated

import msgspec

from thornport.jobs import spec

MAX_TIME_MS = 2**53  # beyond any date, and exact as a float; records hold 64 bits
Time = Annotated[int, msgspec.Meta(ge=-MAX_TIME_MS, le=MAX_TIME_MS)]


class WireStep(msgspec.Struct, frozen=True):
    """A step; fields that are 0, false or empty are omitted on the wire."""

    count: spec.Count = 1
    cpu: spec.Count = 0  # thousandths of a core, for each task
    mem_mb: spec.Count = 0
    gpu: spec.Count = 0
    est_runtime_ms: spec.Count = 0
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    constraints: str = ""  # a label
    affinity: str = ""  # the rack that holds the data
    anti_affinity: spec.Count = 0  # the most tasks of the step on one worker
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: spec.Count = 0
    fills: bool = False
    may_miss: spec.Count | None = None


class WireJob(msgspec.Struct, frozen=True):
    """A job."""

    spec: str
    steps: list[WireStep]
    repeats: spec.Count = 0
    start_at_ms: Time = 0
    interval_ms: Time = 0


def decode_job(body):
    """Decode and check a job.

    Args:
      body: Bytes.
    Returns:
      A spec.Job.
    Raises:
      spec.SpecError: The body is not a valid job; the text names the faulty field.
    """
    try:
        wire = msgspec.json.decode(body, type=WireJob)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise spec.SpecError(str(error)) from error
    job = spec.Job(
        wire.spec,
        tuple(decode_step(step) for step in wire.steps),
        wire.repeats,
        wire.start_at_ms,
        wire.interval_ms,
    )
    spec.check_job(job)
    return job


def decode_step(wire):
    """Decode a step."""
    return spec.Step(
        wire.count,
        spec.Demand(wire.cpu, wire.mem_mb, wire.gpu),
        wire.est_runtime_ms,
        wire.after,
        wire.checkpointing,
        wire.gang,
        wire.same_rack,
        wire.constraints,
        wire.affinity,
        wire.anti_affinity,
        wire.speculative,
        wire.long_running,
        wire.image,
        wire.target_ms,
        wire.fills,
        wire.may_miss,
    )
