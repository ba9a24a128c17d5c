"""Log files read for a report.

A job passes through several processes, and each logs its part in a file of its own;
only all of them together, by time, say what became of it.
"""

import msgspec

from thornport.report import burn, lines, stages, timelines


class Report(msgspec.Struct, frozen=True):
    """All of a report, for programs.

    Attributes:
      left_out: An int, lines that the processes left out to stay in their bound.
    """

    queues: list[stages.JobsRow]
    workspaces: list[stages.JobsRow]
    burn: list[burn.Window]
    left_out: int


class Logs(msgspec.Struct, frozen=True):
    """What log files hold.

    Attributes:
      lines_by_job: Lists of lines.Line by job id, in the order of time.
      jobs: A list of timelines.Timeline.
      left_out: As in Report.
    """

    lines_by_job: dict[str, list[lines.Line]]
    jobs: list[timelines.Timeline]
    left_out: int


def read_files(paths, warn):
    """Read log files, those of several processes together.

    Args:
      paths: A list of pathlib.Path.
      warn: A callable of a str, told of each broken line with its place.
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
    """Show all that was logged of a job, in the order of time.

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
