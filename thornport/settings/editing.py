"""Edits of the tree: planned against a revision, applied by compare-and-swap.

An edit is accepted once it is durable in the store. If the answer to the write
is lost, the key is read back before the outcome is reported.
"""

import msgspec
from returns import result

from thornport.kernel import ids, problem
from thornport.settings import compile as compiling
from thornport.settings import tree
from thornport.store import port

HEAD_KEY = "thornport/settings/head"
MAX_VALUE_BYTES = 1_000_000


class Change(msgspec.Struct, frozen=True):
    """One key of one branch that differs; None means that the key is absent."""

    path: str
    key: str
    before: str | None
    after: str | None


class Plan(msgspec.Struct, frozen=True):
    """The changes that an edit makes to the revision it was planned against."""

    revision: int
    changes: list[Change]
    reaches_by_path: dict[str, list[str]]
    by_path: dict[str, dict[str, str]]


class Accepted(msgspec.Struct, frozen=True):
    """The edit is durable, as the given revision."""

    revision: int


class EditError(msgspec.Struct, frozen=True):
    """The reason why an edit was not accepted.

    Attributes:
      reason: A str, readable text.
      known: A bool; False when the edit may have been applied.
      paths: The branches that differ after a concurrent edit.
    """

    reason: str
    known: bool = True
    paths: list[str] = []


def plan_edit(head, by_path):
    """Compare declared branches with the newest tree in the store.

    Args:
      head: The Tree in the store.
      by_path: A dict as in Tree, all declared branches.
    Returns:
      A Plan. Its reaches_by_path lists the branches beneath each changed branch.
    """
    changes = diff_branches(head.by_path, by_path)
    changed = sorted({change.path for change in changes})
    everything = head.by_path | by_path
    reaches = {path: list_beneath(everything, path) for path in changed}
    return Plan(head.revision, changes, reaches, by_path)


def diff_branches(before, after):
    """List every key that differs between two sets of branches.

    Args:
      before, after: Dicts as in Tree.
    Returns:
      A list of Change, sorted by path and key.
    """
    changes = []
    for path in sorted(before.keys() | after.keys()):
        old = before.get(path, {})
        new = after.get(path, {})
        for key in sorted(old.keys() | new.keys()):
            if old.get(key) != new.get(key):
                changes.append(Change(path, key, old.get(key), new.get(key)))
        if not old and not new and (path in before) != (path in after):
            changes.append(Change(path, "", None, None))
    return changes


def list_beneath(by_path, path):
    """List the branches that inherit from a branch.

    Args:
      by_path: A dict as in Tree.
      path: A str, the path of the branch.
    Returns:
      A sorted list of paths, without the branch itself.
    """
    return sorted(other for other in by_path if other.startswith(path + "/"))


async def read_head(store):
    """Read the newest tree and its index in the store.

    Args:
      store: A store client.
    Returns:
      A Result of a pair of Tree and int, or StoreError.
    """
    read = await store.get(HEAD_KEY)
    return read.map(lambda item: (tree.decode_tree(item.value), item.index))


async def apply_plan(store, plan):
    """Commit a plan if the store is still at the revision it was planned against.

    Args:
      store: A store client.
      plan: A Plan.
    Returns:
      A Result of Accepted or EditError.
    """
    _, problems = compiling.compile_tree(plan.revision + 1, plan.by_path)
    if problems:
        return result.Failure(EditError(str(problem.ProblemsError(problems))))
    read = await read_head(store)
    if isinstance(read, result.Failure):
        return result.Failure(EditError(f"store: {read.failure().reason}"))
    head, index = read.unwrap()
    if head.revision != plan.revision:
        return result.Failure(describe_conflict(plan, head))
    return await write_head(store, plan, index)


async def write_head(store, plan, index):
    """Write the tree of a plan and resolve the outcome of the write.

    Args:
      store: A store client.
      plan: A Plan.
      index: An int, the store's index of the revision it was planned against.
    Returns:
      A Result of Accepted or EditError.
    """
    made = tree.Tree(plan.revision + 1, ids.make_incarnation(), plan.by_path)
    value = tree.encode_tree(made)
    if len(value) > MAX_VALUE_BYTES:
        text = f"the tree takes {len(value)} bytes, over {MAX_VALUE_BYTES}"
        return result.Failure(EditError(text))
    written = await port.resolve_write(store, HEAD_KEY, value, index)
    if isinstance(written, result.Success):
        return result.Success(Accepted(made.revision))
    error = written.failure()
    if isinstance(error, port.Conflict):
        text = "another edit came first; plan again"
        return result.Failure(EditError(text))
    if isinstance(error, port.Ambiguous):
        text = f"unknown whether applied ({error.reason}); plan again to see"
        return result.Failure(EditError(text, known=False))
    return result.Failure(EditError(f"store: {error.reason}"))


def describe_conflict(plan, head):
    """List the branches in which the plan differs from the newest tree.

    Args:
      plan: A Plan.
      head: The Tree now in the store.
    Returns:
      An EditError.
    """
    paths = sorted({c.path for c in diff_branches(plan.by_path, head.by_path)})
    text = f"planned at revision {plan.revision}, the store is at {head.revision}"
    return EditError(text, paths=paths)
