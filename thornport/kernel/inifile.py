"""Parses INI files and keeps the line number of every section and key.

The parser is iniconfig, which stops at the first syntax error. The faulty line is
blanked and the text parsed again, so that up to MAX_SYNTAX_PROBLEMS are reported.
"""

import difflib

import iniconfig
import msgspec

from thornport.kernel import problem

MAX_SYNTAX_PROBLEMS = 50


class Entry(msgspec.Struct, frozen=True):
    """One `key = value` and its line number."""

    key: str
    value: str
    line: int


class Section(msgspec.Struct, frozen=True):
    """One `[name]`, its line number and its entries by key."""

    name: str
    line: int
    by_key: dict[str, Entry]


class Document(msgspec.Struct, frozen=True):
    """All sections of one file by name, and its syntax problems."""

    path: str
    by_name: dict[str, Section]
    problems: list[problem.Problem]


def parse_text(path, text):
    """Parse the text of an INI file.

    Args:
      path: A str naming the source in problems.
      text: A str.
    Returns:
      A Document; its problems are empty if the syntax is valid.
    """
    lines = text.splitlines()
    problems = []
    while True:
        try:
            ini = iniconfig.IniConfig(path, data="\n".join(lines) + "\n")
            break
        except iniconfig.ParseError as error:
            problems.append(problem.Problem(path, error.lineno + 1, error.msg))
            lines[error.lineno] = ""
            if len(problems) >= MAX_SYNTAX_PROBLEMS:
                return Document(path, {}, problems)
    by_name = {section.name: _read_section(ini, section) for section in ini}
    return Document(path, by_name, problems)


def _read_section(ini, section):
    by_key = {
        key: Entry(key, value, section.lineof(key)) for key, value in section.items()
    }
    return Section(section.name, ini.lineof(section.name), by_key)


def convert_entry(document, entry, field_type):
    """Convert one value to the type of its field.

    Args:
      document: The Document the entry is from.
      entry: An Entry.
      field_type: A type that msgspec supports, with its constraints.
    Returns:
      A pair of the value, or None, and a Problem, or None.
    """
    try:
        return msgspec.convert(entry.value, field_type, strict=False), None
    except msgspec.ValidationError as error:
        text = f"{entry.key} = {entry.value}: {error}"
        return None, problem.Problem(document.path, entry.line, text)


def convert_section(document, section, struct_type):
    """Convert a section to a struct, collecting all of its faults.

    Args:
      document: The Document the section is from.
      section: A Section.
      struct_type: A msgspec struct type, a field for each key. Unknown keys are faults
        unless it has an attribute IGNORES_UNKNOWN that is true.
    Returns:
      A pair of the struct, or None if there are faults, and a list of Problems.
    """
    fields = {field.name: field for field in msgspec.structs.fields(struct_type)}
    values = {}
    problems = []
    for entry in section.by_key.values():
        if entry.key not in fields:
            if getattr(struct_type, "IGNORES_UNKNOWN", False):
                continue
            text = describe_unknown("key", entry.key, fields)
            problems.append(problem.Problem(document.path, entry.line, text))
            continue
        value, fault = convert_entry(document, entry, fields[entry.key].type)
        if fault:
            problems.append(fault)
        else:
            values[entry.key] = value
    for field in fields.values():
        if field.required and field.name not in section.by_key:
            text = f"[{section.name}] lacks {field.name}"
            problems.append(problem.Problem(document.path, section.line, text))
    if problems:
        return None, problems
    return struct_type(**values), []


def convert_document(document, struct_type):
    """Convert a file to a struct, collecting all of its faults.

    Args:
      document: A Document.
      struct_type: A msgspec struct type, a field of a struct type for each section.
    Returns:
      A struct of that type.
    Raises:
      problem.ProblemsError: With every fault in the file.
    """
    problems = list(document.problems)
    fields = {field.name: field for field in msgspec.structs.fields(struct_type)}
    values = {}
    for section in document.by_name.values():
        if section.name not in fields:
            fault = describe_unknown("section", section.name, fields)
            problems.append(problem.Problem(document.path, section.line, fault))
            continue
        value, faults = convert_section(document, section, fields[section.name].type)
        problems += faults
        values[section.name] = value
    for field in fields.values():
        if field.required and field.name not in document.by_name:
            text = f"lacks [{field.name}]"
            problems.append(problem.Problem(document.path, 0, text))
    if problems:
        raise problem.ProblemsError(problems)
    return struct_type(**values)


def describe_unknown(what, name, known):
    """Describe an unknown name and suggest the closest known one.

    Args:
      what: A str, the kind of thing named.
      name: A str.
      known: An iterable of str.
    Returns:
      A str, the message.
    """
    nearest = difflib.get_close_matches(name, list(known), n=1)
    hint = f"; did you mean {nearest[0]}?" if nearest else ""
    return f"unknown {what} {name}{hint}"
