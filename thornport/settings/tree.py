"""The settings tree as data, and inheritance between its branches.

A tree maps the path of a branch to the keys that the branch itself sets. A
branch inherits every other key from its parents. Each leaf of a kind declares
one object: leaf `services/press-desk/quotes` is service `press-desk/quotes`.
"""

import zlib

import msgspec

MAX_PLAIN_BYTES = 16 * 1024 * 1024


class TreeError(Exception):
    """Bytes from the store or a peer do not decode to a tree."""


class Tree(msgspec.Struct, frozen=True):
    """One revision of the settings.

    Attributes:
      revision: An int that increases with each accepted edit.
      edit_id: A str, the edit that created this revision.
      by_path: A dict from branch path to a dict from key to value, all str.
    """

    revision: int
    edit_id: str
    by_path: dict[str, dict[str, str]]


EMPTY = Tree(0, "", {})
ENCODER = msgspec.json.Encoder(order="deterministic")
DECODER = msgspec.json.Decoder(Tree)


def encode_tree(tree):
    """Encode a tree for the store: compressed JSON.

    Args:
      tree: A Tree.
    Returns:
      Bytes; equal trees encode to the same bytes.
    """
    return zlib.compress(ENCODER.encode(tree))


def decode_tree(data):
    """Decode a tree.

    Args:
      data: Bytes as returned by encode_tree; no bytes decode to the empty tree.
    Returns:
      A Tree.
    Raises:
      TreeError: The bytes do not decode to a tree.
    """
    if not data:
        return EMPTY
    try:
        inflater = zlib.decompressobj()
        plain = inflater.decompress(data, MAX_PLAIN_BYTES)
        return DECODER.decode(plain)
    except (zlib.error, msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise TreeError(str(error)) from error


def list_ancestors(path):
    """List a branch and its ancestors, from the root down.

    Args:
      path: A str, the path of a branch: parts separated by `/`.
    Returns:
      A list of str, ending with the path itself.
    """
    parts = path.split("/")
    return ["/".join(parts[: n + 1]) for n in range(len(parts))]


def merge_branch(by_path, path):
    """Resolve every key that a branch sets or inherits.

    Args:
      by_path: A dict as in Tree.
      path: A str, the path of the branch.
    Returns:
      A dict from key to a pair of the value and the path of the branch that
      sets it.
    """
    merged = {}
    for ancestor in list_ancestors(path):
        for key, value in by_path.get(ancestor, {}).items():
            merged[key] = (value, ancestor)
    return merged


def list_leaves(by_path, kind):
    """List the leaf branches of a kind.

    Args:
      by_path: A dict as in Tree.
      kind: A str, the first part of the paths.
    Returns:
      A sorted list of paths. The top branch of the kind is never a leaf.
    """
    prefix = kind + "/"
    paths = {path for path in by_path if path.startswith(prefix)}
    parents = {parent for path in paths for parent in list_ancestors(path)[:-1]}
    return sorted(paths - parents)
