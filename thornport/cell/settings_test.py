"""Any text of a settings file is read, or refused with its problems."""

import unittest

from hypothesis import example, given, settings
from hypothesis import strategies as st

from tests import oddvalues
from thornport.cell import settings as settingsfile
from thornport.kernel import problem

VALUES = st.sampled_from([str(n) for n in oddvalues.NUMBERS] + list(oddvalues.TEXTS))
NAMES = st.sampled_from(["process", "listen", "services", "bounds", "odd"])
KEYS = st.sampled_from(
    ["name", "hall", "cores", "ip", "peer_port", "store", "status_s"]
)
SECTIONS = st.dictionaries(NAMES, st.dictionaries(KEYS, VALUES, max_size=4), max_size=5)


def format_sections(sections):
    """Format sections as the text of a file."""
    lines = []
    for name, section in sections.items():
        lines.append(f"[{name}]")
        lines += [f"{key} = {value}" for key, value in section.items()]
    return "\n".join(lines)


class OddSettings(unittest.TestCase):
    """Settings files by odd writers."""

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(st.text(max_size=80) | SECTIONS.map(format_sections))
    @example("[listen]\npeer_port = " + "9" * oddvalues.LONG_DIGITS)
    def test_any_text_is_settings_or_problems(self, text):
        try:
            settingsfile.parse_settings("file", text)
        except problem.ProblemsError as error:
            str(error)


if __name__ == "__main__":
    unittest.main()
