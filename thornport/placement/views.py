"""What operators are shown of the jobs of a placer: pure."""

import msgspec


class TaskView(msgspec.Struct, frozen=True):
    """A task: its state as a word, and how often it was started."""

    state: str
    attempts: int


class JobView(msgspec.Struct, frozen=True):
    """A job.

    Attributes:
      finished: Whether it is kept as finished.
      tasks: TaskViews by task id; none of a job that an earlier placer finished.
    """

    finished: bool
    tasks: dict[str, TaskView]


def view_jobs(state):
    """View every job.

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
