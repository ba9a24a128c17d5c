"""Timelines of jobs, assembled from the log lines of all processes.

Clock differences between processes are small compared with the stages, so times from
several processes are compared without correction.
"""

import msgspec

from thornport.jobs import record
from thornport.report import lines


class Timeline(msgspec.Struct):
    """The times and counts of one job; a time is a float, None if it was not logged.

    Attributes:
      queue: A str.
      workspace: A str, the workspace of the job; empty if it has none.
      objective_ms: An int, the target for the time from submission to the shown end;
        0 if unknown.
      submitted_at: When the caller's first submission attempt was answered.
      kept_at: When the job was durable in the store.
      taken_at: When an owner first knew the job.
      limited_at: When a step first waited for the limit of its workspace.
      released_at: When a step last stopped waiting for that limit.
      started_at: When a start command was first acknowledged.
      ended_at: When the last run ended.
      shown_at: When the end of the job was durable and visible to callers.
      state: The final state as shown to callers; empty before the end.
      refusals, unknowns: Submission attempts that were refused, and those whose
        outcome is unknown.
      starts, unanswered: Start commands, and those without an answer.
      ends_by_kind: The number of ended runs by kind of end.
    """

    job_id: str
    queue: str = ""
    workspace: str = ""
    objective_ms: int = 0
    submitted_at: float | None = None
    kept_at: float | None = None
    taken_at: float | None = None
    limited_at: float | None = None
    released_at: float | None = None
    started_at: float | None = None
    ended_at: float | None = None
    shown_at: float | None = None
    state: str = ""
    refusals: int = 0
    unknowns: int = 0
    starts: int = 0
    unanswered: int = 0
    ends_by_kind: dict[str, int] = {}

    def is_in_time(self):
        """Whether the job succeeded, and within its objective if that is known."""
        if self.state != record.JobState.SUCCEEDED.value:
            return False
        took_s = self.shown_at - self.submitted_at
        return not self.objective_ms or took_s * 1000 <= self.objective_ms

    def is_owed(self):
        """Whether the job counts towards the service level: it was not cancelled."""
        return self.state != record.JobState.CANCELLED.value


class Collector:
    """Builds the timelines of jobs from log lines.

    Attributes:
      by_id: Timeline by job id.
      left_out: How many lines the processes omitted to stay within their log bound.
    """

    def __init__(self):
        self.by_id = {}
        self.left_out = 0

    def take(self, line):
        """Add a line to the timeline of its job, or to the count of omitted lines.

        Other lines that name no job are ignored.

        Args:
          line: A lines.Line.
        Raises:
          lines.LineError: A numeric field of the line is not an integer.
        """
        if line.event in ("lines-left-out", "lines-dropped"):
            self.left_out += lines.read_count(line, "count")
        take = _TAKERS_BY_EVENT.get(line.event)
        job_id = line.value_by_field.get("job")
        if take is None or not job_id:
            return
        timeline = self.by_id.get(job_id)
        if timeline is None:
            timeline = self.by_id[job_id] = Timeline(job_id)
        take(timeline, line)


def take_submitted(timeline, line):
    """Record the answer to a submission attempt."""
    timeline.queue = line.value_by_field.get("queue", timeline.queue)
    timeline.workspace = line.value_by_field.get("workspace", timeline.workspace)
    timeline.objective_ms = lines.read_count(line, "objective_ms")
    note_first(timeline, "submitted_at", line.time)
    outcome = line.value_by_field.get("outcome")
    if outcome == "refused":
        timeline.refusals += 1
    elif outcome == "unknown":
        timeline.unknowns += 1
    else:
        note_first(timeline, "kept_at", line.time)


def take_known(timeline, line):
    """Record that an owner knows the job."""
    note_first(timeline, "taken_at", line.time)


def take_limited(timeline, line):
    """Record that a step waits for the limit of its workspace."""
    note_first(timeline, "limited_at", line.time)


def take_released(timeline, line):
    """Record that a step stopped waiting for the limit of its workspace."""
    timeline.released_at = line.time


def take_start(timeline, line):
    """Record the outcome of a start command."""
    timeline.starts += 1
    outcome = line.value_by_field.get("outcome")
    if outcome == "Unanswered":
        timeline.unanswered += 1
    elif outcome == "Done":
        note_first(timeline, "started_at", line.time)


def take_end(timeline, line):
    """Record the end of a run, except one that its worker reports again."""
    if line.value_by_field.get("new") == "False":
        return
    kind = line.value_by_field.get("how", "")
    timeline.ends_by_kind[kind] = timeline.ends_by_kind.get(kind, 0) + 1
    timeline.ended_at = line.time


def take_shown(timeline, line):
    """Record that the end of the job is durable."""
    note_first(timeline, "shown_at", line.time)
    timeline.state = line.value_by_field.get("state", "")


def note_first(timeline, field, time):
    """Set a time field to the earliest time seen.

    Args:
      timeline: A Timeline.
      field: A str, the name of the field.
      time: A float.
    """
    known = getattr(timeline, field)
    if known is None or time < known:
        setattr(timeline, field, time)


_TAKERS_BY_EVENT = {
    "job-submitted": take_submitted,
    "job-taken": take_known,
    "step-at-limit": take_limited,
    "step-within-limit": take_released,
    "run-start": take_start,
    "run-ended": take_end,
    "job-ended": take_shown,
}
