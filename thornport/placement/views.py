"""The view of a placer's jobs for operators, without I/O."""

import msgspec


class TaskView(msgspec.Struct, frozen=True):
    """The state of a task and how often the placer started it."""

    state: str
    attempts: int


class JobView(msgspec.Struct, frozen=True):
    """The progress of a job.

    Attributes:
      finished: Whether all its tasks have finished.
      tasks: TaskViews by task id; empty for a job that finished under an earlier
        placer.
    """

    finished: bool
    tasks: dict[str, TaskView]


def view_jobs(state):
    """Build the view of every job.

    Args:
      state: A placer.Placer.
    Returns:
      A dict of JobViews by job name.
    """
    tasks_by_job = {name: {} for name in state.finished_jobs}
    for task in state.tasks_by_id.values():
        view = TaskView(task.state.value, task.attempts)
        tasks_by_job.setdefault(task.job_name, {})[task.task_id] = view
    return {
        name: JobView(name in state.finished_jobs, tasks)
        for name, tasks in tasks_by_job.items()
    }
