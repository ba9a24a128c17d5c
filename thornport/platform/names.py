"""Names of steps and tasks on the platform."""

import re

from thornport.cell.decisions import messages

# One spelling for each number, of at most nine digits, which is more than the largest
# job has.
NUMBER = "(0|[1-9][0-9]{0,8})"
TASK_NAME = re.compile(rf"([^.]+)\.{NUMBER}\.{NUMBER}\.{NUMBER}")
MAX_QUOTED_CHARS = 60  # of a name in the message of an error


def format_step(step):
    """Format a StepKey as the platform's name of the step."""
    return f"{step.job_id}.{step.time}.{step.step}"


def format_task(key):
    """Format a TaskKey as the platform's name of the task."""
    return f"{key.job_id}.{key.name_in_job()}"


def parse_task(name):
    """Parse the name of a task.

    Args:
      name: A str, `ID.TIME.STEP.INDEX`.
    Returns:
      A messages.TaskKey.
    Raises:
      ValueError: The text is not a valid task name.
    """
    parsed = TASK_NAME.fullmatch(name)
    if parsed is None:
        raise ValueError(f"not the name of a task: {ascii(name)[:MAX_QUOTED_CHARS]}")
    job_id, time, step, index = parsed.groups()
    return messages.TaskKey(job_id, int(time), int(step), int(index))
