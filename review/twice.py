"""The check of case 1 in all its forms."""


def find_repeated(world):
    """List the starts of tasks after a run that ended `done`, if that end was noted.

    An end does not count if the worker's lease lapsed before it was noted.
    """
    broken = []
    done_by_task = {}
    for one in world.runs:
        counts = one.how == "done" and one.noted_at and not one.lapsed_before_noted
        if counts and one.task not in done_by_task:
            done_by_task[one.task] = one
    for one in world.runs:
        done = done_by_task.get(one.task)
        if done is not None and one.began_at > done.ended_at:
            broken.append(
                f"TWICE: {one.describe()} began {one.began_at - done.ended_at:.3f} s"
                f" after {done.describe()} ended done, noted later"
            )
    return broken
