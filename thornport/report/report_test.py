"""Tests of reports from log lines: timelines, stages, burn and malformed lines."""

import pathlib
import tempfile
import unittest

from hypothesis import given
from hypothesis import strategies as st

from thornport.kernel import logs
from thornport.report import burn, lines, logfiles, stages, timelines

LOG = """\
   0.1000 vm-1 time=100.000 event=job-submitted job=a queue=press objective_ms=900 \
outcome=refused reason="the store is away" process=vm-1
time=101.000 event=job-submitted job=a queue=press objective_ms=900 outcome=kept \
reason="" process=vm-2
time=101.010 event=job-taken job=a by=peer process=vm-1
time=101.100 event=run-start job=a task=0.0.0 run=1 outcome=Unanswered process=vm-1
time=101.300 event=run-start job=a task=0.0.0 run=2 outcome=Done process=vm-1
time=101.700 event=run-ended job=a task=0.0.0 run=2 how=done process=vm-1
time=101.750 event=run-ended job=a task=0.0.0 run=2 new=False how=done process=vm-1
time=101.800 event=job-ended job=a state=succeeded process=vm-1
time=102.000 event=job-submitted job=b queue=press objective_ms=900 outcome=kept
time=102.500 event=job-ended job=b state=succeeded process=vm-1
time=103.000 event=job-submitted job=c queue=press objective_ms=900 outcome=refused
time=103.500 event=job-submitted job=d queue=press objective_ms=900 outcome=kept
time=103.900 event=job-ended job=d state=cancelled process=vm-1
time=104.000 event=lines-left-out of=run-start count=7 process=vm-1
something else that is no line of ours
"""


def collect(text):
    """Collect the timelines of a log."""
    collector = timelines.Collector()
    for line in lines.read_lines(text.splitlines(), lambda number, error: None):
        collector.take(line)
    return collector


class Lines(unittest.TestCase):
    """Log lines are parsed back to the fields that were logged."""

    @given(st.text(), st.text(min_size=1))
    def test_formatted_event_parses_to_the_same_fields(self, reason, job):
        event = {"message_type": "job-submitted", "job": job, "reason": reason}
        line = lines.parse_line(logs.format_event(event))
        self.assertEqual(line.event, "job-submitted")
        self.assertEqual(line.value_by_field, {"job": job, "reason": reason})

    def test_malformed_line_is_reported_with_its_number(self):
        reported = []
        text = ["time=1.0 event=a", "time=x event=b", 'time=1.0 event=c d="\\q"']
        read = list(
            lines.read_lines(text, lambda number, error: reported.append(number))
        )
        self.assertEqual([line.event for line in read], ["a"])
        self.assertEqual(reported, [2, 3])


class Timelines(unittest.TestCase):
    """Timelines, stages and burn computed from one log."""

    def setUp(self):
        self.collector = collect(LOG)

    def test_times_and_counts_of_a_job(self):
        job = self.collector.by_id["a"]
        times = (job.submitted_at, job.kept_at, job.taken_at, job.started_at)
        self.assertEqual(times, (100.0, 101.0, 101.01, 101.3))
        self.assertEqual((job.ended_at, job.shown_at), (101.7, 101.8))
        self.assertEqual((job.refusals, job.starts, job.unanswered), (1, 2, 1))
        self.assertEqual(job.ends_by_kind, {"done": 1})

    def test_omitted_lines_are_counted(self):
        self.assertEqual(self.collector.left_out, 7)

    def test_non_integer_field_is_reported_and_reading_continues(self):
        line = lines.parse_line("time=1.0 event=job-submitted job=a objective_ms=x")
        with self.assertRaises(lines.LineError):
            self.collector.take(line)
        reported = []
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "log"
            path.write_text(f"{line.text}\n{LOG}")
            made = logfiles.read_files([path], reported.append)
        self.assertEqual(len(reported), 1)
        self.assertIn("objective_ms=x", reported[0])
        self.assertEqual(len(made.jobs), 4)

    def test_stages_of_a_queue(self):
        (row,) = stages.compute_queues(self.collector.by_id.values())
        self.assertEqual(row.count_by_state, {"": 1, "cancelled": 1, "succeeded": 2})
        self.assertEqual(row.tries_refused, 2)
        runs = next(stage for stage in row.stages if stage.name == "runs")
        self.assertEqual(runs.count, 1)
        self.assertAlmostEqual(runs.ms_by_percentile[50.0], 400, delta=1)
        self.assertIn("queue press", stages.format_rows("queue", [row]))

    def test_workspaces_have_separate_rows_with_time_at_limit(self):
        log = "\n".join(
            (
                "time=1.0 event=job-submitted job=a queue=q workspace=w outcome=kept",
                "time=1.1 event=step-at-limit job=a step=0.0 workspace=w",
                "time=1.6 event=step-within-limit job=a step=0.0 workspace=w",
                "time=1.7 event=run-start job=a task=0.0.0 run=1 outcome=Done",
                "time=2.0 event=job-submitted job=b queue=q workspace= outcome=kept",
            )
        )
        (row,) = stages.compute_workspaces(collect(log).by_id.values())
        self.assertEqual((row.name, row.count_by_state), ("w", {"": 1}))
        limited = next(stage for stage in row.stages if stage.name == "at its limit")
        self.assertEqual(limited.count, 1)
        self.assertAlmostEqual(limited.ms_by_percentile[50.0], 500, delta=1)

    def test_burn_counts_late_and_lost_jobs_but_not_cancelled_ones(self):
        jobs = self.collector.by_id.values()
        first, second = burn.compute_windows(jobs, 0.9, 2.0)
        # Job a took 1.8 s against an objective of 0.9 s; b was in time, and c was
        # never durable.
        self.assertEqual((first.owed, first.bad), (1, 1))
        self.assertEqual((second.owed, second.bad), (2, 1))
        self.assertAlmostEqual(second.burn, 5.0)


if __name__ == "__main__":
    unittest.main()
