"""Moves tasks off a worker that leaves before they can finish.

All runs at a worker are lost when it leaves. A task that can't finish by then restarts
elsewhere sooner if it is stopped at once; one with checkpoints loses little.
"""

from thornport.cell.decisions import ending, model

# Workers stay a little longer than announced: a task that is expected to finish within
# this time after the announced departure is not stopped.
LINGER_S = 1.0
# Below this, progress is too small to estimate the remaining time from.
MIN_PROGRESS_PERCENT = 5


class Leaving(ending.Ending):
    """Stops runs that can't finish at leaving workers; their tasks wait again."""

    def _stop_unfinishable_runs(self, worker, now):
        """Stop the runs that will not finish before a worker leaves.

        Lasting tasks go on until the worker leaves.
        """
        if worker.leaves_at is None or not worker.is_heard:
            return
        for run in list(worker.runs_by_key.values()):
            if run.state is not model.RunState.RUNNING or run.step.lasting:
                continue
            left_s = estimate_left_s(run, now)
            if left_s is not None and now + left_s > worker.leaves_at + LINGER_S:
                self._stop_run(run, now)


def estimate_left_s(run, now):
    """Estimate the remaining time of a run from its progress.

    Args:
      run: A model.Run.
      now: A float.
    Returns:
      A float, seconds; None if this owner did not command the run.
    """
    if run.commanded_at is None:
        return None
    if run.percent < MIN_PROGRESS_PERCENT:
        took_s = now - run.commanded_at
        return max(0.0, run.usual_s - took_s)
    took_s = run.percent_at - run.commanded_at
    whole_s = took_s * 100 / run.percent
    return max(0.0, run.commanded_at + whole_s - now)
