"""What became of each job, put together from the lines of all processes.

Processes' clocks differ by little against the stages, so times of several are set
side by side as they are.
"""

import msgspec

from thornport.jobs import record
from thornport.report import lines


class Timeline(msgspec.Struct):
    """The times of one job, floats; None for what has not been logged.

    Attributes:
      queue: A str.
      workspace: A str, whose job it is; empty if it is nobody's.
      objective_ms: An int, within which it is in time; 0 if not known.
      submitted_at: When the first try of its caller was answered.
      kept_at: When it was in the store.
      taken_at: When an owner knew it.
      limited_at: When a step of it first waited for its workspace's limit.
      released_at: When a step last ceased to.
      started_at: When the first order of it was answered.
      ended_at: When its last run ended.
      shown_at: When its end was kept, and shown to callers.
      state: The end, as shown; empty before.
      refusals, unknowns: Tries that were refused, and of which it was not known.
      starts, unanswered: Orders to start, and those without an answer.
      ends_by_kind: Ends of its runs.
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
        """Whether it succeeded within its objective, if that is known."""
        if self.state != record.JobState.SUCCEEDED.value:
            return False
        took_s = self.shown_at - self.submitted_at
        return not self.objective_ms or took_s * 1000 <= self.objective_ms

    def is_owed(self):
        """Whether its caller wanted it to its end."""
        return self.state != record.JobState.CANCELLED.value


class Collector:
    """Takes lines and makes the timelines.

    Attributes:
      by_id: Timeline by job id.
      left_out: How many lines the processes left out, to stay in their bound.
    """

    def __init__(self):
        self.by_id = {}
        self.left_out = 0

    def take(self, line):
        """Take a line; those that name no job are passed over.

        Args:
          line: A lines.Line.
        Raises:
          lines.LineError: A field of it is no number.
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
    """A try of the caller was answered."""
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
    """An owner knows the job."""
    note_first(timeline, "taken_at", line.time)


def take_limited(timeline, line):
    """A step waits for its workspace's limit."""
    note_first(timeline, "limited_at", line.time)


def take_released(timeline, line):
    """A step waits for its workspace's limit no more."""
    timeline.released_at = line.time


def take_start(timeline, line):
    """An order to start was answered, or not."""
    timeline.starts += 1
    outcome = line.value_by_field.get("outcome")
    if outcome == "Unanswered":
        timeline.unanswered += 1
    elif outcome == "Done":
        note_first(timeline, "started_at", line.time)


def take_end(timeline, line):
    """A run ended; an end that its worker lists again is passed over."""
    if line.value_by_field.get("new") == "False":
        return
    kind = line.value_by_field.get("how", "")
    timeline.ends_by_kind[kind] = timeline.ends_by_kind.get(kind, 0) + 1
    timeline.ended_at = line.time


def take_shown(timeline, line):
    """The end of the job was kept."""
    note_first(timeline, "shown_at", line.time)
    timeline.state = line.value_by_field.get("state", "")


def note_first(timeline, field, time):
    """Note the first time of something.

    Args:
      timeline: A Timeline.
      field: A str, its field.
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
