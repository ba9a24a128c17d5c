"""What must hold after a soak, from what callers and workers saw."""

import collections
import re

from soak import callers
from tests import harness, schedulers

END_PATIENCE_S = 60.0  # for the work of accepted jobs, long after all is mended
LATER_PATIENCE_S = 2.0  # once one job has not ended, the others have had the time
FIRST_STEP = "0.0"  # of a job that runs once
FINAL_STATES = frozenset({"succeeded", "failed", "cancelled"})


def check_workers(seen, book):
    """Check what the workers saw.

    Args:
      seen: A dict, the stand-in's answer.
      book: A callers.Book.
    Returns:
      A list of str, a line for each broken promise.
    """
    broken = []
    for name in ("twice", "after_done", "unknown"):
        broken += [f"{name}: {task}" for task in seen[name]]
    if seen["over_room"]:
        broken.append(f"over room: {seen['over_room']} starts")
    started = {task.split(".")[0] for task, _, _ in seen["starts"]}
    broken += [f"refused, and started: {job}" for job in book.refused & started]
    broken += [f"cancelled, and started: {job}" for job in book.never & started]
    return broken


def check_workspace(cell, withdrawn, limits):
    """Check a workspace's limit, and that keys which were taken away let nobody in.

    Args:
      cell: A schedulers.Schedulers of which nothing is struck any more.
      withdrawn: A list of str, the keys.
      limits: The limits that were in force, in cores.
    Returns:
      A list of str, a line for each broken promise.
    """
    most = max(cell.read_seen()["most_by_text"].values(), default=0)
    broken = []
    if most > max(limits) * 1000:
        broken.append(f"{most} millicores at once, with limits of {limits} cores")
    for name in cell.names:
        for key in withdrawn:
            answer = cell.send("GET", name, "/editions/", key=key)
            if answer is None or answer.status != 401:
                broken.append(f"{name} lets {key} in: {answer and answer.status}")
    return broken


def check_jobs(cell, book):
    """Wait for the jobs that were accepted, or kept all the same, and check their ends.

    Args:
      cell: A schedulers.Schedulers.
      book: A callers.Book; what lasts and was not cancelled is not waited for.
    Returns:
      A list of str, a line for each broken promise.
    """
    kept = {job for job in book.unknown if cell.read_state(cell.names[0], job)}
    ending = (book.accepted | kept) - (book.lasting - book.cancelled)
    states = {}

    def has_ended(job_id):
        states[job_id] = read_final(cell, job_id)
        return states[job_id]

    broken = wait_for_each(
        ending,
        has_ended,
        lambda job_id: (
            f"never came: the end of {job_id}, last "
            f"{cell.read_state(cell.names[0], job_id)!r}"
        ),
    )
    failed = cell.read_seen()["failed"]
    for job_id, state in sorted(states.items()):
        wanted = set() if job_id in book.lasting else {"succeeded"}
        if count_attempts(failed, job_id, book) >= schedulers.MAX_ATTEMPTS:
            wanted.add("failed")
        if job_id in book.cancelled | book.maybe_cancelled:
            wanted.add("cancelled")
        if state and state not in wanted:
            broken.append(f"{job_id} is {state}")
    return broken


def count_attempts(failed, job_id, book):
    """Count the attempts of the task, or of the gang, that failed most often.

    Args:
      failed: Pairs of a task and a run that ended as failed, as workers saw them.
      job_id: A str.
      book: A callers.Book.
    Returns:
      An int.
    """
    runs_by_subject = collections.defaultdict(set)
    for task, run in failed:
        job, _, rest = task.partition(".")
        if job == job_id:
            step, _, index = rest.rpartition(".")
            is_gang = job_id in book.gangs and step == FIRST_STEP
            runs_by_subject[step if is_gang else f"{step}.{index}"].add(run)
    return max(map(len, runs_by_subject.values()), default=0)


def check_lasting(cell, book):
    """Check that what lasts runs, all of it, and ends once it is cancelled.

    Args:
      cell: A schedulers.Schedulers of which nothing is struck any more.
      book: A callers.Book.
    Returns:
      A list of str, a line for each broken promise.
    """
    lasting = book.accepted & book.lasting
    broken = wait_for_each(
        lasting - book.cancelled - book.maybe_cancelled,
        lambda job_id: (
            count_running(cell, job_id) == callers.LASTING_TASKS
            and cell.read_state(cell.names[0], job_id) == "running"
        ),
        lambda job_id: (
            f"{job_id} lasts, {count_running(cell, job_id)} tasks run, it is "
            f"{cell.read_state(cell.names[0], job_id)!r}"
        ),
    )
    for job_id in sorted(book.lasting):
        cell.send("DELETE", cell.names[0], f"/editions/{job_id}")
    broken += wait_for_each(
        lasting,
        lambda job_id: cell.read_state(cell.names[0], job_id) == "cancelled",
        lambda job_id: (
            f"{job_id} was cancelled, it is {cell.read_state(cell.names[0], job_id)!r}"
        ),
    )
    return broken


def wait_for_each(job_ids, is_well, describe):
    """Wait until something holds of each job.

    Args:
      job_ids: A set of str.
      is_well: A callable telling of a job ID whether it holds.
      describe: A callable telling of a job ID, in a str, what is so instead.
    Returns:
      A list of str, a line for each job of which it never held.
    """
    broken = []
    patience_s = END_PATIENCE_S
    for job_id in sorted(job_ids):
        try:
            harness.wait_until(lambda j=job_id: is_well(j), job_id, patience_s)
        except AssertionError:
            patience_s = LATER_PATIENCE_S
            broken.append(describe(job_id))
    return broken


def check_nothing_runs(cell):
    """Check that no task runs once all jobs have ended.

    Args:
      cell: A schedulers.Schedulers.
    Returns:
      A list of str, a line for each broken promise.
    """
    try:
        harness.wait_until(lambda: not cell.read_seen()["running"], "that nothing runs")
    except AssertionError as error:
        return [f"{error}: {cell.read_seen()['running']}"]
    return []


def count_running(cell, job_id):
    """How many tasks of a job run at workers, by what these saw."""
    running = cell.read_seen()["running"]
    return sum(task.split(".")[0] == job_id for task in running)


def read_final(cell, job_id):
    """A job's state if it has ended, else empty."""
    state = cell.read_state(cell.names[0], job_id)
    return state if state in FINAL_STATES else ""


def check_configs(cell, newest):
    """Check that versions only rose in each life of each scheduler, to the newest.

    Args:
      cell: A schedulers.Schedulers.
      newest: An int, the version that was written last.
    Returns:
      A list of str, a line for each broken promise.
    """
    broken = []
    for name in cell.names:
        try:
            cell.by_name[name].wait_for(rf"config-in-force version={newest} ")
        except AssertionError as error:
            broken.append(f"{name}: {error}")
        log = cell.by_name[name].read_log()
        versions = [int(v) for v in re.findall(r"config-in-force version=(\d+)", log)]
        if versions != sorted(set(versions)):
            broken.append(f"{name}: versions {versions}")
    return broken
