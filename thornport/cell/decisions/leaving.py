"""Moving tasks off a worker that leaves before they can end.

All that runs at a worker is lost when it leaves. A task that can't end until then
starts elsewhere earlier if it is stopped at once, and one that saves its progress
loses little.
"""

from thornport.cell.decisions import ending, model

# Workers stay a little longer than they say; a task that would end within this is
# left alone.
LINGER_S = 1.0
# Below this a run's progress says too little of how long it takes.
MIN_PROGRESS_PERCENT = 5


class Leaving(ending.Ending):
    """Stops what can't end at workers that leave; it then waits to start anew."""

    def _stop_unfinishable_runs(self, worker, now):
        """Stop the tasks at a worker that it will not see to their end.

        Lasting tasks serve until the worker leaves.
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
    """Estimate how long a run goes on, by its progress so far.

    Args:
      run: A model.Run.
      now: A float.
    Returns:
      A float, seconds; None when its progress does not tell yet.
    """
    if run.ordered_at is None:
        return None
    if run.percent < MIN_PROGRESS_PERCENT:
        took_s = now - run.ordered_at
        return max(0.0, run.step.estimate_ms / 1000 - took_s)
    took_s = run.percent_at - run.ordered_at
    whole_s = took_s * 100 / run.percent
    return max(0.0, run.ordered_at + whole_s - now)
