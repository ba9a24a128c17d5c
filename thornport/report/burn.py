"""Burn of service levels: how fast a queue spends its error budget.

A level of 0.99 allows one job in a hundred to be late or lost. A burn of 1 spends
exactly that budget; a burn of 10 in a window spends ten times as much.
"""

import msgspec


class Window(msgspec.Struct, frozen=True):
    """The burn of a queue in one time window.

    Attributes:
      begins_at: A float, seconds since the Unix epoch.
      owed: An int, jobs first submitted within the window and not cancelled.
      bad: An int, those of them that did not succeed in time.
      burn: A float, the share of bad jobs divided by the share that the level allows.
    """

    queue: str
    begins_at: float
    owed: int
    bad: int
    burn: float


def compute_windows(jobs, level, window_s):
    """Compute the windows of all queues.

    Args:
      jobs: An iterable of timelines.Timeline.
      level: A float below 1, the share of jobs that must succeed in time.
      window_s: A float, seconds.
    Returns:
      A list of Window, sorted by queue and time.
    """
    owed = {}
    bad = {}
    for job in jobs:
        if job.submitted_at is None or not job.is_owed():
            continue
        key = (job.queue, job.submitted_at // window_s * window_s)
        owed[key] = owed.get(key, 0) + 1
        bad[key] = bad.get(key, 0) + (not job.is_in_time())
    windows = []
    for (queue, begins_at), count in sorted(owed.items()):
        wrong = bad[queue, begins_at]
        burn = wrong / count / (1 - level)
        windows.append(Window(queue, begins_at, count, wrong, burn))
    return windows


def format_windows(windows):
    """Format windows as a readable table.

    Args:
      windows: A list of Window.
    Returns:
      A str, one line per window, with its time in seconds after the first window.
    """
    first = min((window.begins_at for window in windows), default=0.0)
    return "\n".join(
        f"{window.queue:<16} {window.begins_at - first:>8.0f} s  owed {window.owed:>5}"
        f"  bad {window.bad:>5}  burn {window.burn:>7.1f}"
        for window in windows
    )
