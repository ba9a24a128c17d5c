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


class BoundsOfThePlatform(unittest.TestCase):
    """The section with all bounds that the platform states."""

    def parse(self, lines):
        """Parse a valid file with some lines in this section."""
        head = (
            "[process]\nname = a\nhall = h\n[listen]\nip = 10.0.0.1\njobs = a:1\n"
            "ready = a:2\npeer_port = 3\n[services]\nstore = a:4\n"
        )
        text = f"{head}[platform_bounds] # \n{lines}\n"
        return settingsfile.parse_settings("file", text).platform_bounds

    # Guards against a process that does not start for a bound that it does not know.
    def test_bounds_that_are_not_used_are_ignored(self):
        bounds = self.parse("seed_lag_s = 3\nmax_hold_ms = 7000\nmore = {}")
        self.assertEqual(bounds.max_hold_ms, 7000)
        self.assertEqual(self.parse("more = 1").max_hold_ms, 10_000)

    def test_bound_that_is_not_valid_is_named_with_its_line(self):
        with self.assertRaises(problem.ProblemsError) as caught:
            self.parse("max_hold_ms = 70")
        self.assertIn("file:12: max_hold_ms = 70", str(caught.exception))


if __name__ == "__main__":
    unittest.main()
