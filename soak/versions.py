"""Whether versions of the configuration are in force soon after they were written."""

import re
import threading
import time

import msgspec

MS_PER_S = 1000
APPLY_MS = 2000  # the users' shortest time from an acknowledgement to being in force
# After so long a process that was told of no version sends callers elsewhere: also one
# that is out of touch denies nobody by an older one.
UNTOLD_S = 3.0
UNTOLD_SLACK_S = 0.5  # for an answer that was on its way as the version was written
POLL_S = 0.2
ASK_S = 1.0  # for one answer
UNKNOWN_STATUS = 410  # of a job that nobody handed in, at a queue that is in force
DENIED = frozenset({401, 404})  # what only an older version says
IN_FORCE = re.compile(r"event=config-in-force version=(\d+) ")


class Version(msgspec.Struct, frozen=True):
    """A version that was acknowledged.

    Attributes:
      number: An int.
      path: A str, of the queue that came last.
      key: A str, of the workspace.
      is_in_use: A callable telling whether no later version takes the key away.
    """

    number: int
    path: str
    key: str
    is_in_use: object


def compute_slack_s(apply_s):
    """Compute how much later than users wait all may come on a busy machine.

    Args:
      apply_s: A float, from the acknowledgement of a version until it has to be in
        force.
    Returns:
      A float, seconds.
    """
    return max(0.0, apply_s - APPLY_MS / MS_PER_S)


class Watcher:
    """Asks every process that is in touch about each version.

    Attributes:
      broken: A list of str, a line for each version that was not in force in time.
      counted: An int, how often a version was found in force at a process.
    """

    def __init__(self, cell, touched, apply_s):
        """Take what is asked.

        Args:
          cell: A schedulers.Schedulers.
          touched: A touch.Touch.
          apply_s: A float, from the acknowledgement until a version is in force.
        """
        self._cell = cell
        self._touched = touched
        self._apply_s = apply_s
        self._slack_s = compute_slack_s(apply_s)
        self._threads = []
        self.broken = []
        self.counted = 0

    def note(self, version):
        """Watch a version that was acknowledged just now."""
        thread = threading.Thread(
            target=self._watch, args=(version, time.monotonic()), daemon=True
        )
        self._threads.append(thread)
        thread.start()

    def join(self):
        """Wait until all versions were watched to their end."""
        for thread in self._threads:
            thread.join()

    def _watch(self, version, noted_at):
        waiting = list(self._cell.names)
        while waiting and time.monotonic() < noted_at + self._apply_s:
            time.sleep(POLL_S)
            waiting = [
                name
                for name in waiting
                if self._touched.is_in_touch(name, noted_at)
                and not self._is_in_force(name, version)
            ]
        for name in waiting:
            status = self._ask(name, version)
            is_late = status in DENIED or self._read_version(name) < version.number
            if not is_late or not version.is_in_use():
                continue
            # Asked last: what is struck meanwhile excuses the answer.
            if self._touched.is_in_touch(name, noted_at):
                self.broken.append(
                    f"{name}: version {version.number} is not in force "
                    f"{self._apply_s} s after it was acknowledged, {version.path} is "
                    f"answered {status}"
                )
        self._check_denials(version, noted_at)

    def _check_denials(self, version, noted_at):
        """Check that no process, struck or not, still denies what a version brought."""
        due_at = noted_at + UNTOLD_S + UNTOLD_SLACK_S
        time.sleep(max(0.0, due_at - time.monotonic()))
        names = list(self._cell.names)
        while names:
            is_over = time.monotonic() >= due_at + self._slack_s
            status_by_name = {name: self._ask(name, version) for name in names}
            names = [name for name in names if status_by_name[name] in DENIED]
            if not version.is_in_use():
                return
            if is_over:
                break
            time.sleep(POLL_S)
        for name in names:
            after_s = time.monotonic() - noted_at
            self.broken.append(
                f"{name} denies {version.path} of version {version.number} with "
                f"{status_by_name[name]}, {after_s:.1f} s after it was acknowledged"
            )

    def _is_in_force(self, name, version):
        is_found = self._ask(name, version) == UNKNOWN_STATUS
        self.counted += is_found
        return is_found

    def _ask(self, name, version):
        """Ask for a job that nobody handed in; the status, 0 for no answer."""
        path = f"{version.path}{version.number:016x}"
        answer = self._cell.send("GET", name, path, None, ASK_S, version.key)
        return answer.status if answer is not None else 0

    def _read_version(self, name):
        """The newest version that a process told of in this life, 0 for none."""
        found = IN_FORCE.findall(self._cell.by_name[name].read_log())
        return max((int(number) for number in found), default=0)
