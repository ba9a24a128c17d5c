"""Time that jobs spend in each stage, by queue and by workspace.

The table shows whether late jobs waited for the store, the owner, the limit of their
workspace, or advice and capacity, or ran for long, without examining single jobs.
"""

import msgspec
from hdrh import histogram

LONGEST_MS = 3_600_000  # upper bound of a stage; far above the longest job of the users
DIGITS = 3  # significant digits of a time: 0.1 %
PERCENTILES = (50.0, 95.0, 99.0)


class Stage(msgspec.Struct, frozen=True):
    """A stage of a job, between two times of its timeline.

    Attributes:
      name: A str, as printed.
      begins, ends: Names of fields of timelines.Timeline, a str each.
    """

    name: str
    begins: str
    ends: str


STAGES = (
    Stage("kept", "submitted_at", "kept_at"),
    Stage("known to the owner", "kept_at", "taken_at"),
    Stage("advice and room", "taken_at", "started_at"),
    Stage("at its limit", "limited_at", "released_at"),
    Stage("runs", "started_at", "ended_at"),
    Stage("end kept", "ended_at", "shown_at"),
    Stage("all", "submitted_at", "shown_at"),
)


class StageRow(msgspec.Struct, frozen=True):
    """Percentiles of the duration of a stage.

    Attributes:
      count: An int, the jobs that completed the stage.
      ms_by_percentile: Durations in milliseconds by percentile, all floats.
    """

    name: str
    count: int
    ms_by_percentile: dict[float, float]


class JobsRow(msgspec.Struct, frozen=True):
    """Outcomes and stages of the jobs of one queue or workspace.

    Attributes:
      name: A str, of the queue or the workspace.
      count_by_state: The number of jobs by state shown to callers; an empty state
        means that no end was logged.
      tries_refused, tries_unknown: Submission attempts that were refused, and those
        whose outcome is unknown.
      starts, unanswered: Start commands, and those without an answer.
      ends_by_kind: The number of ended runs by kind of end.
      stages: StageRows.
    """

    name: str
    count_by_state: dict[str, int]
    tries_refused: int
    tries_unknown: int
    starts: int
    unanswered: int
    ends_by_kind: dict[str, int]
    stages: list[StageRow]


def compute_queues(jobs):
    """Compute the rows of all queues.

    Args:
      jobs: An iterable of timelines.Timeline.
    Returns:
      A list of JobsRow, by name.
    """
    return compute_rows(jobs, lambda job: job.queue)


def compute_workspaces(jobs):
    """Compute the rows of all workspaces, omitting jobs that have no workspace."""
    return compute_rows(
        (job for job in jobs if job.workspace), lambda job: job.workspace
    )


def compute_rows(jobs, read_name):
    """Group jobs by name and compute a row for each group.

    Args:
      jobs: An iterable of timelines.Timeline.
      read_name: A callable from a job to a str.
    Returns:
      A list of JobsRow, by name.
    """
    by_name = {}
    for job in jobs:
        by_name.setdefault(read_name(job), []).append(job)
    return [compute_row(name, by_name[name]) for name in sorted(by_name)]


def compute_row(name, jobs):
    """Compute the row of a queue or workspace.

    Args:
      name: A str.
      jobs: A list of timelines.Timeline.
    Returns:
      A JobsRow.
    """
    return JobsRow(
        name,
        count_by([job.state for job in jobs]),
        sum(job.refusals for job in jobs),
        sum(job.unknowns for job in jobs),
        sum(job.starts for job in jobs),
        sum(job.unanswered for job in jobs),
        sum_counts([job.ends_by_kind for job in jobs]),
        [compute_stage(stage, jobs) for stage in STAGES],
    )


def compute_stage(stage, jobs):
    """Compute the durations of a stage over the jobs that completed it.

    Args:
      stage: A Stage.
      jobs: A list of timelines.Timeline.
    Returns:
      A StageRow.
    """
    taken = histogram.HdrHistogram(1, LONGEST_MS * 1000, DIGITS)
    for job in jobs:
        begins, ends = getattr(job, stage.begins), getattr(job, stage.ends)
        if begins is not None and ends is not None:
            # Clocks of two processes may differ by more than a short stage, so a
            # duration may come out negative.
            taken.record_value(max(1, int((ends - begins) * 1_000_000)))
    ms_by_percentile = {
        percentile: taken.get_value_at_percentile(percentile) / 1000
        for percentile in PERCENTILES
    }
    return StageRow(stage.name, taken.get_total_count(), ms_by_percentile)


def count_by(values):
    """Count equal values.

    Args:
      values: A list.
    Returns:
      A dict of int by value, in order of value.
    """
    return {value: values.count(value) for value in sorted(set(values))}


def sum_counts(all_counts):
    """Sum counts by name.

    Args:
      all_counts: An iterable of dicts of int by name.
    Returns:
      A dict of int by name, in order of name.
    """
    total = {}
    for counts in all_counts:
        for name, count in counts.items():
            total[name] = total.get(name, 0) + count
    return dict(sorted(total.items()))


def format_rows(kind, rows):
    """Format rows as a readable table.

    Args:
      kind: A str, what each row stands for: `queue` or `workspace`.
      rows: A list of JobsRow.
    Returns:
      A str of lines.
    """
    lines = []
    for row in rows:
        lines.append(f"{kind} {row.name or '(not logged)'}")
        lines.append(f"  jobs: {format_counts(row.count_by_state)}")
        lines.append(
            f"  tries refused {row.tries_refused}, unknown {row.tries_unknown}; "
            f"orders to start {row.starts}, unanswered {row.unanswered}"
        )
        lines.append(f"  ends of runs: {format_counts(row.ends_by_kind)}")
        for stage in row.stages:
            percentiles = "  ".join(
                f"p{percentile:g} {ms:.0f} ms"
                for percentile, ms in stage.ms_by_percentile.items()
            )
            lines.append(f"  {stage.name:<20} {stage.count:>6}  {percentiles}")
    return "\n".join(lines)


def format_counts(count_by_name):
    """Format counts by name.

    Args:
      count_by_name: A dict of int by str.
    Returns:
      A str.
    """
    pairs = (f"{name or 'no end'} {count}" for name, count in count_by_name.items())
    return ", ".join(pairs) or "none"
