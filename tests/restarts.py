"""Planned stops in series, and what the logs tell of the owners meanwhile."""

import contextlib
import subprocess
import threading
import time

import msgspec

from tests import harness
from thornport.report import lines

# Between the stops of a series; much shorter than a grace, so that they overlap.
SERIES_GAP_S = 0.5
# From the end of a process to its next life.
RESTART_S = 0.3


class Series:
    """Tells the processes of a cell to stop, some at a time, and starts each again."""

    def __init__(self, cell, at_a_time=2, gap_s=SERIES_GAP_S):
        """Take what is restarted.

        Args:
          cell: A schedulers.Schedulers that runs.
          at_a_time: An int, how many processes are told at once.
          gap_s: A float, between one group and the next.
        """
        self._cell = cell
        self._at_a_time = at_a_time
        self._gap_s = gap_s

    def run(self, names):
        """Restart processes; it returns when each is there again.

        Args:
          names: A list of str, in the order in which they are told.
        """
        threads = []
        for first in range(0, len(names), self._at_a_time):
            for name in names[first : first + self._at_a_time]:
                threads.append(threading.Thread(target=self._restart, args=(name,)))
                threads[-1].start()
            time.sleep(self._gap_s)
        for thread in threads:
            thread.join()

    def _restart(self, name):
        process = self._cell.by_name[name]
        process.popen.terminate()
        with contextlib.suppress(subprocess.TimeoutExpired):
            process.popen.wait(harness.PATIENCE_S)
        time.sleep(RESTART_S)
        self._cell.start_scheduler(name)


class Span(msgspec.Struct, frozen=True):
    """A time in which a process decided, by its log.

    Attributes:
      name: A str, the process.
      token: A str, of its ownership.
      began, ended: Floats, seconds since 1970; `ended` is infinite when it goes on.
    """

    name: str
    token: str
    began: float
    ended: float


class CellLog:
    """The lines of all lives of all schedulers of a cell."""

    def __init__(self, cell):
        """Read the logs.

        Args:
          cell: A schedulers.Schedulers.
        """
        self.lines_by_name = {name: read_lines(cell, name) for name in cell.names}

    def list_lines(self, event):
        """List the lines of an event, of all processes.

        Args:
          event: A str.
        Returns:
          A list of lines.Line in order of time.
        """
        found = [
            line
            for of_process in self.lines_by_name.values()
            for line in of_process
            if line.event == event
        ]
        return sorted(found, key=lambda line: line.time)

    def list_spans(self):
        """List when processes decided, a list of Span."""
        spans = []
        for name, of_process in self.lines_by_name.items():
            began = None
            for line in of_process:
                if began is None and line.event == "deciding":
                    began = line
                elif began is not None and line.event in ("not-deciding", "started"):
                    spans.append(make_span(name, began, line.time))
                    began = None
            if began is not None:
                spans.append(make_span(name, began, float("inf")))
        return sorted(spans, key=lambda span: span.began)

    def list_abandoned(self):
        """List the owners that stopped and left the cell to nobody.

        Returns:
          A list of lines.Line, `handing-over` of those whose key no other process got
          before they ended, and that did not release it.
        """
        claims = self.list_lines("owner-key-claimed")
        return [
            line
            for of_process in self.lines_by_name.values()
            for number, line in enumerate(of_process)
            if line.event == "handing-over"
            and not is_left_well(of_process[number:], claims)
        ]

    def list_offers_to_stopping(self):
        """List the offers to processes of which the owner knew that they stop.

        Returns:
          A list of lines.Line.
        """
        return [
            line
            for of_process in self.lines_by_name.values()
            for line in of_process
            if line.event == "cell-offered" and self._is_known_to_stop(line, of_process)
        ]

    def _is_known_to_stop(self, offer, of_owner):
        peer = offer.value_by_field["to"]
        told_at = [
            line.time
            for line in of_owner
            if line.event == "peer-stopping"
            and line.value_by_field["peer"] == peer
            and line.time <= offer.time
        ]
        lives = [line for line in self.lines_by_name[peer] if line.event == "started"]
        return any(
            not any(told < life.time <= offer.time for life in lives)
            for told in told_at
        )


def read_lines(cell, name):
    """Read the log of all lives of a process.

    Args:
      cell: A schedulers.Schedulers.
      name: A str.
    Returns:
      A list of lines.Line.
    """
    text = (cell.folder / f"{name}.log").read_text()
    parsed = (lines.parse_line(one) for one in text.splitlines())
    return [line for line in parsed if line is not None]


def is_left_well(of_life, claims):
    """Whether an owner that stops gave its key up, or lost it to another process.

    Args:
      of_life: A list of lines.Line, its own from `handing-over` on.
      claims: A list of lines.Line, all claims of a key.
    Returns:
      A bool.
    """
    ended_at = float("inf")
    for line in of_life:
        if line.event == "owner-key-released":
            return True
        if line.event == "stopped":
            ended_at = line.time
            break
    began = of_life[0]
    return any(
        claim.process != began.process and began.time < claim.time < ended_at
        for claim in claims
    )


def make_span(name, began, ended):
    """Make the Span that a line began."""
    return Span(name, began.value_by_field["token"], began.time, ended)
