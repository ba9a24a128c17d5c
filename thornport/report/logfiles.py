"""Reads the log files of a report.

A job passes through several processes, each with its own log file, so the files are
merged by time to reconstruct the history of a job.
"""

import msgspec

from thornport.report import burn, lines, stages, timelines


class Report(msgspec.Struct, frozen=True):
    """A whole report, encoded as JSON for programs.

    Attributes:
      left_out: An int, lines that the processes omitted to stay within their log
        bound.
    """

    queues: list[stages.JobsRow]
    workspaces: list[stages.JobsRow]
    burn: list[burn.Window]
    left_out: int


class Logs(msgspec.Struct, frozen=True):
    """The contents of the log files.

    Attributes:
      lines_by_job: Lists of lines.Line by job id, sorted by time.
      jobs: A list of timelines.Timeline.
      left_out: As in Report.
    """

    lines_by_job: dict[str, list[lines.Line]]
    jobs: list[timelines.Timeline]
    left_out: int


def read_files(paths, warn):
    """Read the log files of all processes and merge them by time.

    Args:
      paths: A list of pathlib.Path.
      warn: A callable of a str, called for each malformed line with its position, or
        with its text if a field is not an integer.
    Returns:
      A Logs.
    """
    found = []
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as stream:
            found += lines.read_lines(
                stream,
                lambda number, error, path=path: warn(f"{path}:{number}: {error}"),
            )
    found.sort(key=lambda line: line.time)
    collector = timelines.Collector()
    lines_by_job = {}
    for line in found:
        try:
            collector.take(line)
        except lines.LineError as error:
            warn(str(error))
        job_id = line.value_by_field.get("job")
        if job_id:
            lines_by_job.setdefault(job_id, []).append(line)
    return Logs(lines_by_job, list(collector.by_id.values()), collector.left_out)


def explain_job(logs, job_id):
    """Format all log lines of a job in the order of time.

    Args:
      logs: A Logs.
      job_id: A str.
    Returns:
      A str of lines.
    """
    known = logs.lines_by_job.get(job_id)
    if not known:
        return f"no line names job {job_id}: it reached no process, or was malformed"
    first = known[0].time
    return "\n".join(f"{line.time - first:+9.3f} s  {line.text}" for line in known)
