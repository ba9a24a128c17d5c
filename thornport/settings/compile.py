"""Compiles a tree of strings into typed objects and collects every fault.

The same function checks an operator's files, where each value has a file and a
line, and compiles the trees that daemons read from the store.
"""

import msgspec

from thornport.kernel import inifile, problem
from thornport.settings import schema, tree

STORED = "settings"


class Place(msgspec.Struct, frozen=True):
    """The file and line where an operator declared a branch or a key."""

    path: str
    line: int


class Config(msgspec.Struct, frozen=True):
    """The objects that one revision declares, by kind and name."""

    revision: int
    tiers_by_name: dict[str, schema.Tier]
    workspaces_by_name: dict[str, schema.Workspace]
    services_by_name: dict[str, schema.Service]
    jobs_by_name: dict[str, schema.Job]


EMPTY = Config(0, {}, {}, {}, {})


def read_documents(documents):
    """Merge parsed files into the branches of a tree.

    Args:
      documents: A list of inifile.Document.
    Returns:
      A triple of a dict as Tree.by_path, a dict from (branch, key) to Place,
      where key None stands for the branch itself, and a list of Problem.
    """
    by_path = {}
    places = {}
    problems = []
    for document in documents:
        problems += document.problems
        for section in document.by_name.values():
            place = Place(document.path, section.line)
            if section.name in by_path:
                first = places[section.name, None]
                text = f"[{section.name}] stands also at {first.path}:{first.line}"
                problems.append(problem.Problem(place.path, place.line, text))
                continue
            places[section.name, None] = place
            by_path[section.name] = {}
            for entry in section.by_key.values():
                by_path[section.name][entry.key] = entry.value
                places[section.name, entry.key] = Place(document.path, entry.line)
    return by_path, places, problems


def compile_tree(revision, by_path, places=None):
    """Compile the branches into typed objects.

    Args:
      revision: An int.
      by_path: A dict as in Tree.
      places: A dict as returned by read_documents, or None.
    Returns:
      A pair of a Config and a list of Problem. If there are problems, the
      Config holds only the objects that could be compiled.
    """
    places = places or {}
    problems = check_keys(by_path, places)
    by_kind = {}
    for kind, struct_type in schema.KINDS_BY_NAME.items():
        by_kind[kind] = {}
        for path in tree.list_leaves(by_path, kind):
            made, faults = compile_leaf(by_path, path, struct_type, places)
            problems += faults
            if made is not None:
                by_kind[kind][path.removeprefix(kind + "/")] = made
    config = Config(
        revision,
        by_kind["tiers"],
        by_kind["workspaces"],
        by_kind["services"],
        by_kind["jobs"],
    )
    problems += check_references(config, places)
    return config, problems


def find_place(places, path, key):
    """Find where a key is declared, or else where its branch is.

    Args:
      places: A dict as returned by read_documents.
      path: A str.
      key: A str or None.
    Returns:
      A Place; Place(STORED, 0) if neither place is known.
    """
    return places.get((path, key)) or places.get((path, None)) or Place(STORED, 0)


def make_problem(places, path, key, text):
    """Create a Problem at the place of a key.

    Args:
      places, path, key: As in find_place.
      text: A str.
    Returns:
      A Problem.
    """
    place = find_place(places, path, key)
    return problem.Problem(place.path, place.line, f"[{path}] {text}")


def check_keys(by_path, places):
    """Check the kind, the keys and the values of each branch on its own.

    Args:
      by_path: A dict as in Tree.
      places: A dict as returned by read_documents.
    Returns:
      A list of Problem.
    """
    problems = []
    for path, by_key in by_path.items():
        kind = path.split("/")[0]
        if kind not in schema.KINDS_BY_NAME:
            text = inifile.describe_unknown("kind", kind, schema.KINDS_BY_NAME)
            problems.append(make_problem(places, path, None, text))
            continue
        types = {
            field.name: field.type
            for field in msgspec.structs.fields(schema.KINDS_BY_NAME[kind])
        }
        for key, value in by_key.items():
            if key not in types:
                text = inifile.describe_unknown("key", key, types)
                problems.append(make_problem(places, path, key, text))
                continue
            fault = check_value(value, types[key])
            if fault:
                text = f"{key} = {value}: {fault}"
                problems.append(make_problem(places, path, key, text))
    return problems


def check_value(value, field_type):
    """Check one value against its type.

    Args:
      value: A str.
      field_type: A type that msgspec supports.
    Returns:
      A str that describes the fault, or None.
    """
    try:
        msgspec.convert(value, field_type, strict=False)
    except msgspec.ValidationError as error:
        return str(error)
    return None


def compile_leaf(by_path, path, struct_type, places):
    """Create the object of one leaf.

    Args:
      by_path: A dict as in Tree.
      path: A str.
      struct_type: The struct type of its kind.
      places: A dict as returned by read_documents.
    Returns:
      A pair of the object, or None, and a list of Problem about missing keys.
      Invalid values are reported by check_keys.
    """
    merged = tree.merge_branch(by_path, path)
    values = {key: value for key, (value, _) in merged.items()}
    problems = [
        make_problem(places, path, None, f"lacks {field.name}")
        for field in msgspec.structs.fields(struct_type)
        if field.required and field.name not in values
    ]
    if problems:
        return None, problems
    try:
        return msgspec.convert(values, struct_type, strict=False), []
    except msgspec.ValidationError:
        return None, []


def check_references(config, places):
    """Check that the tiers and workspaces that objects refer to exist.

    Args:
      config: A Config.
      places: A dict as returned by read_documents.
    Returns:
      A list of Problem.
    """
    problems = []

    def check(path, key, name, known):
        if name not in known:
            text = inifile.describe_unknown(key, name, known)
            problems.append(make_problem(places, path, key, text))

    for name, job in config.jobs_by_name.items():
        path = f"jobs/{name}"
        check(path, "tier", job.tier, config.tiers_by_name)
        check(path, "workspace", job.workspace, config.workspaces_by_name)
    for name, workspace in config.workspaces_by_name.items():
        for tier in split_names(workspace.tiers):
            check(f"workspaces/{name}", "tiers", tier, config.tiers_by_name)
    return problems


def split_names(text):
    """Split a list of names at commas.

    Args:
      text: A str.
    Returns:
      A list of non-empty str, without surrounding spaces.
    """
    return [name.strip() for name in text.split(",") if name.strip()]
