"""Runs command-line operations on declarations and the store, and load runs."""

import pathlib

import msgspec
from returns import result
from twisted.internet import defer, task

from thornport.kernel import inifile, metrics, problem
from thornport.load import arrivals, driver
from thornport.settings import compile as compiling
from thornport.settings import editing
from thornport.store import client as storeclient

STORE_TIMEOUT_S = 5.0


def load_files(paths):
    """Read and check declarations.

    Args:
      paths: A list of pathlib.Path.
    Returns:
      A dict as Tree.by_path.
    Raises:
      problem.ProblemsError: The declarations have faults; lists every one.
    """
    documents = [
        inifile.parse_text(str(path), pathlib.Path(path).read_text(encoding="utf-8"))
        for path in paths
    ]
    by_path, places, problems = compiling.read_documents(documents)
    _, faults = compiling.compile_tree(0, by_path, places)
    if problems or faults:
        raise problem.ProblemsError(problems + faults)
    return by_path


def run_in_reactor(make_coroutine):
    """Run one coroutine in the reactor and return its result.

    Args:
      make_coroutine: A callable from a reactor to a coroutine.
    Returns:
      The result of the coroutine.
    """
    outcome = []

    async def act(reactor):
        outcome.append(await make_coroutine(reactor))

    try:
        task.react(lambda reactor: defer.ensureDeferred(act(reactor)))
    except SystemExit as done:
        # task.react always raises SystemExit; only a failure is passed on.
        if done.code:
            raise
    return outcome[0]


def make_store(reactor, url):
    """Create a store client for one command.

    Args:
      reactor: Twisted's reactor.
      url: A str.
    Returns:
      A client.StoreClient.
    """
    return storeclient.StoreClient(reactor, url, STORE_TIMEOUT_S, metrics.Metrics())


def plan_files(by_path, url):
    """Plan an edit against the store.

    Args:
      by_path: A dict as Tree.by_path.
      url: A str, the URL of the store.
    Returns:
      A Result of editing.Plan or editing.EditError.
    """

    async def act(reactor):
        return await plan_with(make_store(reactor, url), by_path)

    return run_in_reactor(act)


async def plan_with(store, by_path):
    """Plan an edit with a store client.

    Args:
      store: A store client.
      by_path: A dict as Tree.by_path.
    Returns:
      A Result of editing.Plan or editing.EditError.
    """
    read = await editing.read_head(store)
    if isinstance(read, result.Failure):
        return result.Failure(editing.EditError(f"store: {read.failure().reason}"))
    head, _ = read.unwrap()
    return result.Success(editing.plan_edit(head, by_path))


def apply_files(by_path, url, revision=None):
    """Commit declarations.

    Args:
      by_path: A dict as Tree.by_path.
      url: A str, the URL of the store.
      revision: An int, the revision that the store must be at; None to accept any.
    Returns:
      A Result of editing.Accepted or editing.EditError.
    """

    async def act(reactor):
        store = make_store(reactor, url)
        planned = await plan_with(store, by_path)
        if isinstance(planned, result.Failure):
            return planned
        plan = planned.unwrap()
        if revision is not None and plan.revision != revision:
            stale = msgspec.structs.replace(plan, revision=revision)
            return await editing.apply_plan(store, stale)
        if not plan.changes:
            return result.Success(editing.Accepted(plan.revision))
        return await editing.apply_plan(store, plan)

    return run_in_reactor(act)


def format_plan(plan):
    """Format a plan as readable text.

    Args:
      plan: An editing.Plan.
    Returns:
      A str, one line per change, then one for each path that reaches branches.
    """
    lines = [f"at revision {plan.revision}: {len(plan.changes)} changes"]
    for change in plan.changes:
        lines.append(f"[{change.path}] {change.key}: {change.before} -> {change.after}")
    for path, reached in plan.reaches_by_path.items():
        if reached:
            lines.append(f"[{path}] reaches {', '.join(reached)}")
    return "\n".join(lines)


def run_load(where, mix, seed, callers=0):
    """Run a load test and wait until it ends.

    Args:
      where: A driver.LoadTarget.
      mix: An arrivals.Mix.
      seed: An int.
      callers: An int, the number of closed-loop callers; 0 for open-loop arrivals.
    Returns:
      A report.Report.
    """
    drawn = arrivals.draw_arrivals(mix, seed)

    async def act(reactor):
        made = driver.Driver(reactor, where)
        if callers:
            return await made.run_closed(drawn, callers, mix.deadline_ms)
        return await made.run(drawn, mix.deadline_ms)

    return run_in_reactor(act)
