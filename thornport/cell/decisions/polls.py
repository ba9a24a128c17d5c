"""Looks at workers: each renews the leases there, and tells what runs and ended.

What they tell also judges a worker: one that is silent, that left, or on which
all tasks stand still gets no starts for a while.
"""

from thornport.cell.decisions import (
    ending,
    incarnations,
    leases,
    messages,
    model,
    notes,
)
from thornport.jobs import spec as specs

# A look that waits: one whose answer is lost hides ends for this long and a
# little, and urgent tasks are late after some tenths of a second.
POLL_WAIT_MS = 700
IDLE_WAIT_MS = 2000  # where nothing runs there is little to hide; looks are priced
# Where urgent tasks run while answers are being lost: one that is lost hides their
# ends for 0.45 s instead of 1 s, for 7 looks a second and worker instead of 3.
LOSSY_WAIT_MS = 150
LOSSY_S = 5.0  # from a lost answer on; the users' workers lose some for about as long
# A worker that answers again so soon after a look that failed was not cut off: the
# answer alone was lost.
LOST_ANSWER_S = 1.6
# A connection that the worker does not know any more is reset within this time.
CONNECTION_RESET_S = 0.1
# An entry goes after three heartbeats of silence, 4.5 s; well below that, it went
# because the worker ended.
LEAVE_WINDOW_S = 2.5
# Tasks whose percent has not changed for so long stand still: the longest task of
# the users changes every 0.2 s, and a look waits for 0.7 s at most.
STALLED_S = 1.5
MAX_STALLS = 8  # counted; two are enough for the longest time
MAX_STALL_SUSPECT_S = 6.0  # a worker on which one task after the other stood still


class Polls(incarnations.Incarnations):
    """Makes looks at workers and takes the answers."""

    def make_poll(self, worker_id, now):
        """Make the next look at a worker.

        Args:
          worker_id: A str.
          now: A float.
        Returns:
          A messages.HoldRequest, or None when the worker needs none.
        """
        worker = self.workers_by_id.get(worker_id)
        if worker is None or not worker.entry.address:
            return None
        if now - self.confirmed_at > leases.UNCONFIRMED_LIMIT_S:
            return None
        token = self.make_token(worker)
        address = worker.entry.address
        if not worker.is_heard:
            return messages.HoldRequest(worker_id, address, token, 0, 0, 0)
        deadline_ms = leases.extend(worker, now)
        if worker.silent_since is not None or worker.doubted_at is not None:
            # Another life may answer by now: that one has ends of its own to tell.
            return messages.HoldRequest(worker_id, address, token, deadline_ms, 0, 0)
        is_acked = worker.acked_number >= worker.seen_number
        wait_ms = self._choose_wait_ms(worker, now)
        return messages.HoldRequest(
            worker_id,
            address,
            token,
            deadline_ms,
            worker.acked_number,
            wait_ms if is_acked else 0,
        )

    def _choose_wait_ms(self, worker, now):
        """Choose how long a look may wait for an end, an int."""
        if not worker.runs_by_key:
            return IDLE_WAIT_MS
        if now < self._lossy_until and self.is_urgent_at(worker.worker_id):
            return LOSSY_WAIT_MS
        return POLL_WAIT_MS

    def is_urgent_at(self, worker_id):
        """Tell whether a run of the first priority is live at a worker."""
        worker = self.workers_by_id.get(worker_id)
        if worker is None:
            return False
        jobs = (self.jobs_by_id.get(key.job_id) for key in worker.runs_by_key)
        return any(job and self._queue_of(job).priority == 0 for job in jobs)

    def take_poll(self, request, sent_at, answer, now):
        """Take the answer to a look.

        Args:
          request: The messages.HoldRequest.
          sent_at: A float.
          answer: A messages.HoldAnswer, Rejected, NotReached or Unanswered.
          now: A float.
        """
        worker = self.workers_by_id.get(request.worker_id)
        if worker is None or request.token != self.make_token(worker):
            # What was asked of a life that is over says nothing of the next.
            return
        if isinstance(answer, messages.Rejected):
            self._take_rejection(worker, request, answer, now)
            return
        if not isinstance(answer, messages.HoldAnswer):
            # Orders would fail as this look did; the next look clears it.
            worker.avoid(now + ending.AVOID_S)
            worker.unanswered_at = now
            worker.note_silence(now, has_broken_off(answer, sent_at, now))
            if isinstance(answer, messages.NotReached) and answer.is_refused:
                self._stop_waiting_gangs(worker, now)
            if has_left(worker, answer, now):
                self.end_worker(worker, now, notes.WorkerEnd.LEFT)
            return
        if self._is_restart(worker, answer.started_at_ms):
            self._begin_incarnation(worker, answer.started_at_ms, now)
            return
        if not worker.is_heard:
            self._confirm_incarnation(worker, answer.started_at_ms, now)
        if worker.doubted_at is not None and sent_at >= worker.doubted_at:
            worker.doubted_at = None
        worker.clock_ms = answer.clock_ms
        worker.heard_at = now
        worker.silent_since = None
        worker.is_broken_off = False
        self._detect_lost_answer(worker, now)
        for end in sorted(answer.ended, key=lambda end: end.number):
            self._take_end(worker, end, now)
        self._take_running(worker, answer, sent_at, now)
        if not worker.is_heard:
            worker.is_heard = True
            self._candidates_by_kind.clear()
            worker.granted_ms = max(worker.granted_ms, worker.clock_ms + leases.HOLD_MS)
        self.needs_pass = True

    def _stop_waiting_gangs(self, worker, now):
        """Stop members of gangs that wait elsewhere for one at a worker that refuses.

        They would end as alone 3 s after their start, with nothing gained: whether the
        one that they wait for is over is known 3.2 s after a crash at the soonest.
        """
        for run in list(worker.runs_by_key.values()):
            step = self._find_step(run.key)
            if step is None or not step.spec.gang:
                continue
            members = list(step.live_by_index.values())
            if run not in members or any(member.percent > 0 for member in members):
                continue
            for member in members:
                if member.worker_id != worker.worker_id:
                    self._stop_run(member, now)

    def _detect_lost_answer(self, worker, now):
        """Tell answers that are lost from workers that are."""
        failed_at, worker.unanswered_at = worker.unanswered_at, None
        if failed_at is not None and now - failed_at < LOST_ANSWER_S:
            self._lossy_until = now + LOSSY_S

    def _take_running(self, worker, answer, sent_at, now):
        rows_by_key = {(row.key, row.run): row for row in answer.running}
        absent = []
        for run in list(worker.runs_by_key.values()):
            row = rows_by_key.pop((run.key, run.run), None)
            if row is not None:
                self._take_listed_run(worker, run, row, now)
            elif not worker.is_heard:
                absent.append(run)
            else:
                self._take_unlisted_run(run, sent_at, now)
        if not worker.is_heard:
            self._lose_earlier(worker, absent, now)
        for row in rows_by_key.values():
            self._stop_unknown_run(worker, row, now)
        self._stop_stalled_runs(worker, now)

    def _stop_stalled_runs(self, worker, now):
        """Move tasks from a worker on which all stand still."""
        running = [
            run
            for run in worker.runs_by_key.values()
            if run.state is model.RunState.RUNNING
            # A gang's member waits for the others before it makes progress.
            and (run.percent > 0 or not run.step.gang)
            and not run.step.lasting
        ]
        if any(now - run.percent_at <= STALLED_S for run in running):
            if any(run.percent > 0 for run in running):
                worker.stalls = 0
            return
        if not running:
            return
        # Bounded: a gang may stand still for long, and a power of two that no float
        # holds ended the looks at its worker with an error.
        worker.stalls = min(MAX_STALLS, worker.stalls + 1)
        suspect_s = min(MAX_STALL_SUSPECT_S, STALLED_S * 2**worker.stalls)
        worker.suspect(now + suspect_s)
        for run in running:
            # A gang would lose the work of all its members.
            if not run.step.gang:
                self._stop_run(run, now)

    def _take_listed_run(self, worker, run, row, now):
        if incarnations.is_of_other_incarnation(run, worker):
            # Its order came after the restart; a successor has to know the same.
            run.worker_started_at_ms = worker.started_at_ms
            if run.key.job_id in self.jobs_by_id:
                self._mark(self.jobs_by_id[run.key.job_id])
        if run.state in (model.RunState.ORDERED, model.RunState.UNHEARD):
            run.state = model.RunState.RUNNING
            run.percent_at = now
            if run.known_since is None:
                run.known_since = now
        if row.percent != run.percent:
            run.percent, run.percent_at = row.percent, now
        step = self._find_step(run.key)
        if step is not None:
            step.waiting_since_by_index.pop(run.key.index, None)
        if step is not None and row.checkpoint:
            step.checkpoints_by_index[step.index_for(run.key.index)] = row.checkpoint

    def _take_unlisted_run(self, run, sent_at, now):
        """A live run that the worker does not list, nor its end."""
        if run.state is model.RunState.UNHEARD or (
            run.stop_confirmed_at is not None and sent_at > run.stop_confirmed_at
        ):
            self._release_run(run, now)

    def _stop_unknown_run(self, worker, row, now):
        """A run of an earlier owner that no record names: it is not needed."""
        step = self._find_step(row.key)
        # Of a job that is not known, it may take the whole worker.
        unknown = specs.Step(1, worker.entry.total)
        spec = step.spec if step is not None else unknown
        if row.key in worker.runs_by_key:
            return
        run = model.Run(
            row.key,
            row.run,
            worker.worker_id,
            spec,
            model.RunState.RUNNING,
            worker_started_at_ms=worker.started_at_ms,
        )
        self._hold_room(worker, run)
        self._stop_run(run, now)


def has_broken_off(answer, sent_at, now):
    """Tell whether a look that waited at a worker broke off, as where its process ends.

    A worker that lost power and is there again resets what is sent to it at once.

    Args:
      answer: A messages.NotReached or Unanswered.
      sent_at: A float.
      now: A float.
    Returns:
      A bool.
    """
    is_broken_off = isinstance(answer, messages.Unanswered) and answer.is_broken_off
    return is_broken_off and now - sent_at > CONNECTION_RESET_S


def has_left(worker, answer, now):
    """Tell whether a worker has ended as it said it would.

    Its entry said that it was draining, it answered a moment ago, its port refuses
    now, and the store does not list it: an entry of a worker that is merely silent
    stays longer.

    Args:
      worker: A model.Worker.
      answer: A messages.NotReached or Unanswered.
      now: A float.
    Returns:
      A bool.
    """
    return (
        isinstance(answer, messages.NotReached)
        and answer.is_refused
        and worker.is_heard
        and worker.revision > 0
        and not worker.is_listed
        and worker.entry.state is messages.WorkerState.DRAINING
        and now - worker.heard_at < LEAVE_WINDOW_S
    )
