"""Tests of compiling declarations and reporting their faults."""

import unittest

from thornport.kernel import inifile
from thornport.settings import compile as compiling

RIGHT = """
[tiers/urgent]
price = 100
[workspaces/press]
tiers = urgent
[jobs]
tier = urgent
workspace = press
cores = 2
[jobs/nightly]
memory_mb = 4096
[jobs/nightly/kigali]
tasks = 3
"""

WRONG = """
[tiers/urgent]
prise = 100
[workspaces/press]
tiers = urgnt
stray
[jobs/nightly]
tier = urgent
cores = -1
"""


def check(text):
    document = inifile.parse_text("cell.ini", text)
    by_path, places, problems = compiling.read_documents([document])
    config, faults = compiling.compile_tree(1, by_path, places)
    return config, sorted(problems + faults)


class Check(unittest.TestCase):
    """Guards against lost inheritance and faults reported without their line."""

    def test_leaf_inherits_from_every_parent(self):
        config, problems = check(RIGHT)
        self.assertEqual(problems, [])
        job = config.jobs_by_name["nightly/kigali"]
        self.assertEqual((job.cores, job.memory_mb, job.tasks), (2.0, 4096, 3))
        self.assertEqual(list(config.jobs_by_name), ["nightly/kigali"])

    def test_every_fault_is_reported_with_its_line(self):
        _, problems = check(WRONG)
        self.assertEqual([p.line for p in problems], [2, 3, 5, 6, 7, 9])
        self.assertIn("did you mean price?", problems[1].text)
