"""Names of steps and tasks on the platform."""

from thornport.cell.decisions import messages


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
    job_id, time, step, index = name.split(".")
    return messages.TaskKey(job_id, int(time), int(step), int(index))
