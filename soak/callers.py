"""Callers of a soak: they hand in jobs on kept connections and note answers."""

import random
import threading
import time

import msgspec
import urllib3

from tests import schedulers

TRIES = 5  # the users' callers try again four times
# Statuses of calls that may have been done: no answer, and an outcome not known.
UNKNOWN_STATUSES = frozenset({0, 504})
TIMEOUT_S = 3.0  # of a call
PAUSE_S = 0.1  # between the jobs of a caller
CANCEL_SHARE = 0.15  # of accepted jobs
LEAVE_SHARE = 0.1  # chance of a further job whose caller leaves at once and cancels it
LEAVE_S = 0.02  # how long such a caller waits for the answer to its submission
LEAVING_IDS = 0x80000000  # added to the numbers of such jobs
URGENT_SHARE = 0.2  # of jobs
SAVING_SHARE = 0.5  # of the steps that are not the last one of a job
PATH = "/editions/"
LASTING_TASKS = 2
LASTING_MILLICORES = 250  # so that what lasts leaves room for the others


def make_lasting_job():
    """Make the body of a job that lasts until it is cancelled."""
    step = {"count": LASTING_TASKS, "cpu": LASTING_MILLICORES, "mem_mb": 10}
    # The text of the other jobs: what runs of a workspace is counted by it.
    return {"spec": "text", "steps": [step | {"long_running": True}]}


class Book:
    """What callers were told, by job ID.

    Attributes:
      accepted, refused, unknown, cancelled: Sets of job IDs. A job is refused
        when each try was, and cancelled when its cancel was accepted.
      maybe_cancelled: A set of IDs of jobs whose cancel was not accepted, but may have
        been done.
      never: A set of IDs of jobs that must not start, as their DELETE was answered 410.
      gangs: A set of IDs of jobs whose first step is a gang.
      lasting: A set of IDs of jobs that run until they are cancelled, whatever came
        of them.
    """

    def __init__(self):
        self.accepted = set()
        self.refused = set()
        self.unknown = set()
        self.cancelled = set()
        self.maybe_cancelled = set()
        self.never = set()
        self.lasting = set()
        self.gangs = set()


class Caller(threading.Thread):
    """One caller."""

    def __init__(self, cell, book, seed, lasting=0, pause_s=PAUSE_S):
        """Take what the caller works with.

        Args:
          cell: A schedulers.Schedulers.
          book: A Book, of all callers.
          seed: An int, another one for each caller.
          lasting: An int, how many of its jobs, the first, last until cancelled.
          pause_s: A float, between its jobs.
        """
        super().__init__(daemon=True)
        self._cell = cell
        self._book = book
        self._seed = seed
        self._rng = random.Random(seed)
        # Of its own, so that a seed's other jobs are as without it.
        self._leaving_rng = random.Random(f"{seed} leaves")
        self._pool = urllib3.PoolManager(maxsize=8, retries=False)
        self._lasting_left = lasting
        self._pause_s = pause_s
        self.stopping = threading.Event()

    def run(self):
        """Hand in jobs until told to stop."""
        number = 0
        while not self.stopping.wait(self._pause_s):
            number += 1
            job_id = f"{self._seed & 0xFFFFFFFF:08x}{number:08x}"
            self._submit(job_id)
            is_accepted = job_id in self._book.accepted
            if is_accepted and self._rng.random() < CANCEL_SHARE:
                self._cancel(job_id)
            if self._leaving_rng.random() < LEAVE_SHARE:
                self._submit_and_leave(
                    f"{self._seed & 0xFFFFFFFF:08x}{LEAVING_IDS + number:08x}"
                )

    def _submit_and_leave(self, job_id):
        """Submit a job without waiting for the answer, and cancel it elsewhere."""
        rng = self._leaving_rng
        body = schedulers.make_job(rng.randint(1, 3), rng.randint(50, 500))
        first, second = (rng.choice(self._cell.names) for _ in range(2))
        if self._call_at(first, "POST", PATH + job_id, body, LEAVE_S) == 200:
            self._book.accepted.add(job_id)
        status = self._call_at(second, "DELETE", PATH + job_id)
        if status == 200:
            self._book.cancelled.add(job_id)
        elif status == 410:
            self._book.never.add(job_id)
        else:
            self._book.maybe_cancelled.add(job_id)

    def _submit(self, job_id):
        body = self._make_job(job_id)
        is_urgent = self._rng.random() < URGENT_SHARE
        prefix = schedulers.URGENT_PATH if is_urgent else PATH
        statuses = set()
        for _ in range(TRIES):
            status = self._call("POST", job_id, body, prefix)
            statuses.add(status)
            if status == 200:
                self._book.accepted.add(job_id)
                return
            time.sleep(self._rng.uniform(0.05, 0.3))
        if statuses == {503}:
            self._book.refused.add(job_id)
        else:
            self._book.unknown.add(job_id)

    def _make_job(self, job_id):
        if self._lasting_left:
            self._lasting_left -= 1
            self._book.lasting.add(job_id)
            return make_lasting_job()
        count = self._rng.randint(1, 6)
        is_gang = self._rng.random() < 0.3
        if is_gang:
            self._book.gangs.add(job_id)
        # Runs that save their progress are stopped for urgent jobs.
        saves = self._rng.random() < SAVING_SHARE
        return schedulers.make_job(
            count, self._rng.randint(50, 2500), gang=is_gang, checkpointing=saves
        )

    def _cancel(self, job_id):
        statuses = set()
        for _ in range(TRIES):
            status = self._call("DELETE", job_id, None)
            statuses.add(status)
            if status == 200:
                self._book.cancelled.add(job_id)
                return
        if statuses & UNKNOWN_STATUSES:
            self._book.maybe_cancelled.add(job_id)

    def _call(self, method, job_id, body, prefix=PATH):
        """Call any scheduler; returns the status, 0 for no answer."""
        name = self._rng.choice(self._cell.names)
        return self._call_at(name, method, prefix + job_id, body)

    def _call_at(self, name, method, path, body=None, timeout_s=TIMEOUT_S):
        """Call a scheduler; returns the status, 0 for no answer."""
        url = self._cell.url(name, path)
        data = msgspec.json.encode(body) if body is not None else None
        headers = schedulers.make_headers(self._cell.key)
        try:
            return self._pool.request(
                method, url, body=data, headers=headers, timeout=timeout_s
            ).status
        except urllib3.exceptions.HTTPError:
            return 0
