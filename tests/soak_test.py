"""A short soak, and each seed that ever failed with its cause."""

import os
import pathlib
import re
import shutil
import signal
import subprocess
import sys
import unittest
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st
from typer import testing

from soak import __main__ as soak
from soak import callers, checks, plan, sizes, touch, versions
from tests import harness

SHORT_S = 6.0
LONG_S = 20.0
SMALL = sizes.Size(schedulers=4, proxied=4, workers=5, callers=4)
DISPATCHED = sizes.Size(schedulers=8, proxied=6, workers=130, callers=4)
TINY = ("--schedulers", "2", "--workers", "1", "--callers", "1")
FAR_S = "600"
KEPT = re.compile(r"logs kept in (\S+)")
MEMORY = "MemTotal: {total} kB\nMemFree: 1 kB\nMemAvailable: {free} kB\n"
GB = 1024 * 1024  # in the kernel's unit

DRAWN_S = 15.0  # of the seeds by hand
RESTARTS_S = 10.0

# A seed, its seconds, its size or kind of size, and the cause.
RESTART = "a worker restarts between two looks, and a start reaches it before the look"
BEFELL = "a job is given up for crashes that only befell it"
HELD_UP = "an answer that a frozen link held up passes for a new one"
REGRESSIONS = ((87004, DRAWN_S, sizes.SizeKind.DOZENS, HELD_UP),)


class SoakCase(unittest.TestCase):
    """Runs soaks."""

    def check_kept(self, seed, seconds, size, kinds=(), causes=()):
        """Run a soak; versions have the time that a busy machine may need.

        Args:
          causes: Strs, why the seed failed before.
        """
        drawn = plan.make_plan(seed, seconds, size, kinds)
        broken, told = soak.run_plan(seed, drawn, apply_s=harness.PATIENCE_S)
        self.assertEqual(broken, [], f"{told} failed before: {causes}")


class Soak(SoakCase):
    """Promises under faults from outside."""

    def test_short_seeded_run_keeps_every_promise(self):
        self.check_kept(7, SHORT_S, SMALL)

    def test_cell_with_dispatchers_keeps_every_promise(self):
        self.assertTrue(DISPATCHED.has_dispatchers())
        self.check_kept(8, LONG_S, DISPATCHED)

    def test_seeds_that_failed_before(self):
        for seed, seconds, size, cause in REGRESSIONS:
            with self.subTest(seed=seed, cause=cause):
                self.check_kept(seed, seconds, size)

    # Each seed by itself, so that KNOWN-RED.txt can name one.
    def test_seed_50011(self):
        self.check_kept(
            50011,
            DRAWN_S,
            sizes.SizeKind.DOZENS,
            causes=(RESTART, BEFELL),
        )

    def test_seed_50012(self):
        self.check_kept(50012, DRAWN_S, sizes.SizeKind.DOZENS, causes=(BEFELL,))

    def test_seed_50112(self):
        self.check_kept(
            50112,
            DRAWN_S,
            sizes.SizeKind.DOZENS,
            causes=(RESTART, BEFELL),
        )

    def test_seed_60002(self):
        self.check_kept(
            60002,
            DRAWN_S,
            sizes.SizeKind.DOZENS,
            causes=(RESTART, BEFELL),
        )

    def test_seed_73008_whose_workers_restart_within_a_second(self):
        self.check_kept(73008, DRAWN_S, sizes.SizeKind.DOZENS, causes=(BEFELL,))

    def test_seed_81001(self):
        self.check_kept(81001, DRAWN_S, sizes.SizeKind.DOZENS, causes=(BEFELL,))

    def test_seed_82009(self):
        self.check_kept(82009, DRAWN_S, sizes.SizeKind.DISPATCHERS, causes=(BEFELL,))

    def test_few_workers_that_restart_all_the_time(self):
        # Jobs were given up for crashes that only befell them, in each run.
        kinds = (plan.Kind.WORKER_RESTART, plan.Kind.WORKER_REPLACED, plan.Kind.KILL)
        self.check_kept(7, RESTARTS_S, SMALL, kinds)


class Cancels(unittest.TestCase):
    """Cancels whose callers were never told that they were accepted."""

    def cancel(self, *statuses):
        """Cancel a job of a caller whose tries have these statuses; its Book."""
        book = callers.Book()
        caller = callers.Caller(None, book, 1)
        with mock.patch.object(caller, "_call", side_effect=statuses):
            caller._cancel("j")
        return book

    def check(self, book, state):
        """Check an accepted job that ended in a state."""
        cell = mock.Mock(names=["s"])
        cell.read_state.return_value = state
        cell.read_seen.return_value = {"failed": []}
        book.accepted.add("j")
        return checks.check_jobs(cell, book)

    # Guards against a broken promise by a cancel that was done and not acknowledged.
    def test_cancel_of_unknown_outcome_may_have_been_done(self):
        for status in (0, 504):
            book = self.cancel(status, 401, 401, 401, 401)
            self.assertEqual(self.check(book, "cancelled"), [])
            self.assertEqual(self.check(book, "succeeded"), [])
            self.assertEqual(self.check(book, "failed"), ["j is failed"])

    def test_refused_cancel_was_not_done(self):
        book = self.cancel(503, 401, 503, 401, 503)
        self.assertEqual(self.check(book, "cancelled"), ["j is cancelled"])

    def test_accepted_cancel_is_noted_as_such(self):
        book = self.cancel(504, 200)
        self.assertEqual((book.cancelled, book.maybe_cancelled), ({"j"}, set()))


class Attempts(unittest.TestCase):
    """Jobs that are shown as failed while workers fail all that they start."""

    def check(self, failed, is_gang):
        """Check a job that is shown as failed after some failed runs."""
        book = callers.Book()
        book.accepted.add("j")
        book.gangs |= {"j"} if is_gang else set()
        cell = mock.Mock(names=["s"])
        cell.read_state.return_value = "failed"
        cell.read_seen.return_value = {"failed": failed}
        return checks.check_jobs(cell, book)

    # Guards against a gang that is given up as several members fail in one run.
    def test_members_of_a_gang_share_an_attempt(self):
        one_run = [[f"j.0.0.{member}", 1] for member in range(3)]
        self.assertEqual(self.check(one_run, is_gang=True), ["j is failed"])
        three_runs = [[f"j.0.0.{run}", run] for run in range(3)]
        self.assertEqual(self.check(three_runs, is_gang=True), [])

    def test_tasks_without_a_gang_have_attempts_of_their_own(self):
        three_tasks = [[f"j.0.0.{run}", run] for run in range(3)]
        self.assertEqual(self.check(three_tasks, is_gang=False), ["j is failed"])
        three_runs = [["j.0.0.0", run] for run in range(3)]
        self.assertEqual(self.check(three_runs, is_gang=False), [])
        others = [["i.0.0.0", run] for run in range(3)]
        self.assertEqual(self.check(others, is_gang=False), ["j is failed"])


class Plan(unittest.TestCase):
    """The faults and the size that a seed draws."""

    @given(seed=st.integers(1, 10**9), seconds=st.floats(1.0, 60.0))
    def test_same_seed_same_faults_in_order(self, seed, seconds):
        drawn = plan.make_plan(seed, seconds)
        self.assertEqual(drawn, plan.make_plan(seed, seconds))
        faults = drawn.faults
        self.assertEqual(faults, sorted(faults, key=lambda fault: fault.at_s))
        for fault in faults:
            self.assertEqual(bool(fault.target), fault.kind in plan.OF_SCHEDULER)
            self.assertLessEqual(fault.at_s, seconds)

    @given(seed=st.integers(1, 10**9), kind=st.sampled_from(sizes.SizeKind))
    def test_sizes_are_within_their_limits(self, seed, kind):
        size = plan.make_plan(seed, SHORT_S, kind).size
        self.assertLessEqual(size.count_processes(), sizes.MOST_PROCESSES)
        self.assertLessEqual(size.proxied, size.schedulers)
        self.assertEqual(size.has_dispatchers(), kind is not sizes.SizeKind.DOZENS)

    @given(seed=st.integers(1, 10**9))
    def test_series_come_while_the_store_is_in_trouble(self, seed):
        kinds = (plan.Kind.STOP, plan.Kind.STORE_SLOW)
        drawn = plan.make_plan(seed, SHORT_S, SMALL, kinds)
        found = [fault.kind for fault in drawn.faults]
        self.assertGreaterEqual(found.count(plan.Kind.STOP), plan.SERIES_COUNTS[0])
        self.assertIn(plan.Kind.STORE_SLOW, found)

    @given(
        seed=st.integers(1, 10**9),
        kinds=st.sets(st.sampled_from(plan.Kind), min_size=1),
        proxied=st.integers(0, 4),
    )
    def test_only_kinds_that_were_asked_for(self, seed, kinds, proxied):
        size = sizes.Size(schedulers=4, proxied=proxied, workers=5, callers=4)
        drawn = plan.make_plan(seed, SHORT_S, size, tuple(kinds))
        self.assertLessEqual({fault.kind for fault in drawn.faults}, kinds)
        for fault in drawn.faults:
            if fault.kind in plan.OF_LINK:
                self.assertLess(int(fault.target.removeprefix("scheduler-")), proxied)

    # Guards against seeds of older regressions whose faults change with a new kind.
    @given(seed=st.integers(1, 10**9))
    def test_kinds_drawn_apart_leave_the_other_faults_as_they_are(self, seed):
        drawn = plan.make_plan(seed, SHORT_S, SMALL)
        found = {fault.kind for fault in drawn.faults}
        self.assertLessEqual(set(plan.DRAWN_APART), found)
        others = [f for f in drawn.faults if f.kind not in plan.DRAWN_APART]
        older = tuple(kind for kind in plan.Kind if kind not in plan.DRAWN_APART)
        self.assertEqual(others, plan.make_plan(seed, SHORT_S, SMALL, older).faults)


class BadPlan(unittest.TestCase):
    """What can't be is refused with its field and range before anything starts."""

    def check_refused(self, arguments, *wanted):
        """The command line is refused, with these words."""
        with mock.patch.object(soak, "run_plan") as run:
            done = testing.CliRunner().invoke(soak.app, arguments)
        run.assert_not_called()
        self.assertEqual(done.exit_code, soak.REFUSED_CODE, done.output)
        output = " ".join(done.output.split())
        for words in wanted:
            self.assertIn(words, output)

    def test_numbers_out_of_their_ranges(self):
        ranges = {
            "--seed": ("-1", "0<=x<=1000000000"),
            "--count": ("0", "1<=x<=1000"),
            "--seconds": ("0", "1<=x<=600"),
            "--schedulers": ("1", f"2<=x<={sizes.MOST_SCHEDULERS}"),
            "--proxied": ("-1", f"0<=x<={sizes.MOST_SCHEDULERS}"),
            "--workers": ("0", f"1<=x<={sizes.MOST_WORKERS}"),
            "--callers": ("0", f"1<=x<={sizes.MOST_CALLERS}"),
            "--apply-ms": ("0", "100<=x<=60000"),
            "--memory-share": ("0.6", f"0.01<=x<={sizes.MEMORY_SHARE}"),
        }
        for field, (value, wanted) in ranges.items():
            with self.subTest(field=field):
                self.check_refused([field, value], field, wanted)
                self.check_refused([field, "many"], field, "a valid")

    def test_what_is_no_number(self):
        for field in ("--seconds", "--memory-share"):
            self.check_refused([field, "nan"], field, "nan is not in the range")

    def test_unknown_kinds(self):
        self.check_refused(["--kind", "rain"], "--kind", "'rain'", "'pause'")
        self.check_refused(["--size", "huge"], "--size", "'huge'", "'limits'")

    def test_more_processes_than_the_limit(self):
        arguments = ["--schedulers", "200", "--proxied", "150", "--workers", "5"]
        wanted = f"351 processes with the platform: from 2 to {sizes.MOST_PROCESSES}"
        self.check_refused(arguments, "schedulers and proxied", wanted)

    def test_fields_that_do_not_fit_each_other(self):
        tiny = list(TINY)
        self.check_refused([*tiny, "--proxied", "3"], "proxied is 3", "schedulers, 2")
        self.check_refused([*tiny, "--size", "dozens"], "--size")
        self.check_refused(["--workers", "5"], "--schedulers")
        links = [*tiny, "--proxied", "0", "--kind", "cut"]
        self.check_refused(links, "kind", "proxied is 0", "from 1")

    def test_cell_that_does_not_fit_the_memory(self):
        size = sizes.Size(schedulers=100, proxied=19, workers=5, callers=4)
        for total, free, share, wanted in (
            (16, 16, 0.5, ""),
            (8, 8, 0.5, "from 2 to 68"),
            (16, 4, 0.5, "4096 MB are free"),
            (16, 16, 0.25, "4096 MB may be used"),
        ):
            text = MEMORY.format(total=total * GB, free=free * GB)
            found = sizes.find_excess(size, share, lambda text=text: text)
            self.assertEqual(bool(found), bool(wanted), found)
            self.assertIn(wanted, found)

    def test_drawn_size_that_does_not_fit_is_not_run(self):
        arguments = ["--seed", "7", "--size", "limits", "--memory-share", "0.01"]
        self.check_refused(arguments, "seed=7", "refused", "0 seeds kept")


class Denied(unittest.TestCase):
    """What a version brought is denied by no process for long, struck or not."""

    def find_broken(self, status, is_in_use=True):
        """Watch a version at a process that is struck and answers with a status."""
        name = "scheduler-0"
        cell = mock.Mock(names=[name], by_name={name: mock.Mock(read_log=str)})
        cell.send.return_value.status = status
        touched = touch.Touch()
        watcher = versions.Watcher(cell, touched, 0.0)
        version = versions.Version(4, "/route-1/", "key-1", lambda: is_in_use)
        at_once = mock.patch.multiple(versions, UNTOLD_S=0.0, UNTOLD_SLACK_S=0.0)
        with at_once, touched.strike(name):
            watcher.note(version)
            watcher.join()
        return watcher.broken

    def test_is_found_of_a_process_that_is_struck(self):
        for status in versions.DENIED:
            self.assertEqual(len(self.find_broken(status)), 1, status)

    def test_sending_elsewhere_is_no_denial(self):
        for status in (503, versions.UNKNOWN_STATUS):
            self.assertEqual(self.find_broken(status), [], status)

    def test_a_key_may_be_denied_once_it_was_taken_away(self):
        self.assertEqual(self.find_broken(401, is_in_use=False), [])


class Interrupted(unittest.TestCase):
    """A soak that is interrupted ends what it started, and nothing else."""

    def check_ends_its_own(self, number, wait):
        """Interrupt a soak; `wait` is called with it before."""
        cell = harness.Cell()
        self.addCleanup(cell.close)
        bystander = cell.start("kv", "standins.kv").popen
        arguments = [sys.executable, "-m", "soak", *TINY, "--seconds", FAR_S]
        run = subprocess.Popen(arguments, stderr=subprocess.PIPE, text=True)
        self.addCleanup(run.stderr.close)
        self.addCleanup(run.kill)
        wait(run)
        started = list_children(run.pid)
        self.assertTrue(started)
        run.send_signal(number)
        self.assertNotEqual(run.wait(harness.PATIENCE_S), 0)
        self.assertEqual([pid for pid in started if is_alive(pid)], [])
        self.assertIsNone(bystander.poll())
        for folder in KEPT.findall(run.stderr.read()):
            shutil.rmtree(folder)

    def test_while_it_starts(self):
        def wait(run):
            harness.wait_until(lambda: len(list_children(run.pid)) > 1, "two processes")

        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGINT):
            with self.subTest(number=number):
                self.check_ends_its_own(number, wait)

    def test_while_faults_come(self):
        # A scheduler outlives a closed terminal: it reads its settings anew.
        for number in (signal.SIGHUP, signal.SIGINT):
            with self.subTest(number=number):
                self.check_ends_its_own(number, lambda run: run.stderr.readline())


def list_children(pid):
    """The ids of the processes that a process started."""
    tasks = pathlib.Path(f"/proc/{pid}/task").glob("*/children")
    return [int(child) for task in tasks for child in task.read_text().split()]


def is_alive(pid):
    """Whether there is a process of an id."""
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


if __name__ == "__main__":
    unittest.main()
