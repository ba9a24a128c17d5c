"""Polls workers: a poll renews a worker's leases and reports its runs and their ends.

The answers also show a worker's health: one that is silent, that has left, or on which
no task makes progress gets no starts for a while.
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

# How long a poll waits at the worker for an end. A lost answer delays the report of
# ends by slightly more, and urgent tasks are late after some tenths of a second.
POLL_WAIT_MS = 700
IDLE_WAIT_MS = 2000  # a lost answer delays little where nothing runs; polls are priced
# Wait at workers with urgent tasks while answers are being lost: a lost answer delays
# their ends by 0.45 s instead of 1 s, at 7 polls a second per worker instead of 3.
LOSSY_WAIT_MS = 150
LOSSY_S = 5.0  # after a lost answer; the users' workers lose answers for about as long
# A worker that answers again within this time of a failed poll was not cut off: only
# the answer was lost.
LOST_ANSWER_S = 1.6
# A silence of this length is recorded for a successor; a lost answer is not.
RECORDED_SILENCE_S = 0.5
# A worker resets a connection that it no longer knows within this time.
CONNECTION_RESET_S = 0.1
# The entry of a silent worker is removed after three missed heartbeats, 4.5 s. An entry
# that is gone well before that was removed because the worker ended.
LEAVE_WINDOW_S = 2.5
# Tasks whose percent has not changed for this long are stalled: the longest task of the
# users changes every 0.2 s, and a poll waits for 0.7 s at most.
STALLED_S = 1.5
MAX_STALLS = 8  # bound of the count; two reach the longest suspicion
MAX_STALL_SUSPECT_S = 6.0  # for a worker on which tasks stall repeatedly
# States of runs that the answer to a poll shows to have begun. One that is recorded
# again for its second start may have begun by the first.
STARTING_STATES = frozenset(
    {model.RunState.RECORDING, model.RunState.ORDERED, model.RunState.UNHEARD}
)


class Polls(incarnations.Incarnations):
    """Makes polls of workers and processes the answers."""

    def make_poll(self, worker_id, now):
        """Make the next poll of a worker.

        Args:
          worker_id: A str.
          now: A float.
        Returns:
          A messages.HoldRequest, or None when the worker is not to be polled.
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
        if worker.silent_since is not None or worker.doubted_at is not None:
            # A new incarnation may answer, which has ends and a clock of its own.
            return messages.HoldRequest(worker_id, address, token, 0, 0, 0)
        deadline_ms = self.lease_bounds.extend(worker, now)
        if deadline_ms:
            worker.open_calls.note_sent(now, deadline_ms, now)
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
        """Choose how long a poll waits for an end, an int."""
        if not worker.runs_by_key:
            wait_ms = IDLE_WAIT_MS
        elif now < self._lossy_until and self.is_urgent_at(worker.worker_id):
            wait_ms = LOSSY_WAIT_MS
        else:
            wait_ms = POLL_WAIT_MS
        return min(wait_ms, self.lease_bounds.longest_wait_ms)

    def is_urgent_at(self, worker_id):
        """Whether a run of the first priority is live at a worker."""
        worker = self.workers_by_id.get(worker_id)
        if worker is None:
            return False
        jobs = (self.jobs_by_id.get(key.job_id) for key in worker.runs_by_key)
        return any(job and self._queue_of(job).priority == 0 for job in jobs)

    def note_given_up(self, call, now):
        """Note that a call was made again, while another process may still make it.

        Args:
          call: A messages.HoldRequest or StartOrder.
          now: A float.
        """
        calls = self.open_calls_by_id.get(call.worker_id)
        if calls is not None and call.deadline_ms:
            calls.note_given_up(call.deadline_ms, now)

    def take_poll(self, request, sent_at, answer, now):
        """Process the answer to a poll.

        Args:
          request: The messages.HoldRequest.
          sent_at: A float.
          answer: A messages.HoldAnswer, Rejected, NotReached or Unanswered.
          now: A float.
        """
        worker = self.workers_by_id.get(request.worker_id)
        if worker is None or request.token != self.make_token(worker):
            # The answer of an earlier incarnation does not apply to the current one.
            return
        if isinstance(answer, messages.Unanswered):
            worker.open_calls.note_unanswered(sent_at, sent_by=sent_at)
        else:
            worker.open_calls.note_settled(sent_at)
        if isinstance(answer, messages.Rejected):
            self._take_rejection(worker, request, answer, now)
            return
        if not isinstance(answer, messages.HoldAnswer):
            # Commands would fail as this poll did; the next answer clears it.
            worker.avoid(now + ending.AVOID_S)
            worker.unanswered_at = now
            worker.note_silence(now, has_broken_off(answer, sent_at, now))
            if now - worker.silent_since >= RECORDED_SILENCE_S:
                self._record_silence(worker)
            if isinstance(answer, messages.NotReached) and answer.is_refused:
                self._stop_waiting_gangs(worker, now)
            if has_left(worker, answer, now):
                self.end_worker(worker, now, notes.WorkerEnd.LEFT)
            return
        if self._is_restart(worker, answer.started_at_ms):
            self._begin_incarnation(
                worker, answer.started_at_ms, request.deadline_ms, now
            )
            return
        if not worker.is_heard:
            self._confirm_incarnation(worker, answer.started_at_ms, now)
        if worker.doubted_at is not None and sent_at >= worker.doubted_at:
            worker.doubted_at = None
        self._settle_answered(worker, now)
        worker.clock_ms = answer.clock_ms
        worker.heard_at = now
        worker.silent_since = worker.loss = None
        worker.is_broken_off = False
        self._detect_lost_answer(worker, now)
        if not worker.is_heard:
            worker.granted_ms = self._bound_first_lease_ms(worker, answer.clock_ms, now)
        for end in sorted(answer.ended, key=lambda end: end.number):
            self._take_end(worker, end, now)
        self._take_running(worker, answer, sent_at, now)
        if worker.filling_count:
            self._adapt_pace(worker, now)
        else:
            worker.pace = None
        if not worker.is_heard:
            worker.is_heard = True
            self._candidates_by_kind.clear()
            self._note_incarnation_heard(worker, answer)
        self.needs_pass = True

    def _note_incarnation_heard(self, worker, answer):
        self.notes.append(
            notes.IncarnationHeard(
                worker.worker_id,
                self.make_token(worker),
                worker.started_at_ms,
                worker.clock_ms,
                worker.granted_ms,
                len(answer.ended),
                len(answer.running),
            )
        )

    def _stop_waiting_gangs(self, worker, now):
        """Stop gang members that wait for one at a worker that refuses connections.

        They would end as alone 3 s after their start without progress: that the other
        member is over is known 3.2 s after a crash at the soonest.
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
        """Detect that an answer was lost on the way while the worker was reachable."""
        failed_at, worker.unanswered_at = worker.unanswered_at, None
        if failed_at is not None and now - failed_at < LOST_ANSWER_S:
            self._lossy_until = now + LOSSY_S

    def _take_running(self, worker, answer, sent_at, now):
        rows_by_key = {(row.key, row.run): row for row in answer.running}
        unlisted_by_key = {}
        for run in list(worker.runs_by_key.values()):
            row = rows_by_key.pop((run.key, run.run), None)
            if row is not None:
                self._take_listed_run(worker, run, row, now)
            else:
                unlisted_by_key[run.key] = run
        if not worker.is_heard:
            worker.doubtful_by_key = dict(unlisted_by_key)
        self._note_omitted_ends(worker, answer, len(unlisted_by_key))
        unsettled_by_key = unlisted_by_key if answer.may_omit_ends() else {}
        if not unsettled_by_key:
            self._settle_unlisted_runs(worker, unlisted_by_key, sent_at, now)
        for row in rows_by_key.values():
            self._stop_unknown_run(worker, row, now)
        self._stop_stalled_runs(worker, unsettled_by_key, now)

    def _note_omitted_ends(self, worker, answer, unlisted):
        """Note that the answers of a worker begin or cease to omit ends."""
        may_omit_ends = answer.may_omit_ends()
        if may_omit_ends != worker.omits_ends:
            worker.omits_ends = may_omit_ends
            self.notes.append(
                notes.EndsOmitted(
                    worker.worker_id,
                    may_omit_ends,
                    len(answer.ended),
                    unlisted,
                    worker.has_withheld_ends,
                )
            )

    def _stop_stalled_runs(self, worker, unsettled_by_key, now):
        """Suspect a worker on which all tasks stall, and stop those not of gangs.

        Args:
          worker: A model.Worker.
          unsettled_by_key: The model.Runs that may have ended, by TaskKey, as the
            answer may omit ends.
          now: A float.
        """
        running = [
            run
            for run in worker.runs_by_key.values()
            if run.state is model.RunState.RUNNING
            and run.key not in unsettled_by_key
            # A gang's member waits for the others before it makes progress.
            and (run.percent > 0 or not run.step.gang)
            and not run.step.lasting
            and not run.may_be_paced()
        ]
        if any(now - run.percent_at <= STALLED_S for run in running):
            if any(run.percent > 0 for run in running):
                worker.stalls = 0
            return
        if not running:
            return
        # Bounded because a gang may stall for long: a power of two that overflows a
        # float raised an error that ended the polls of its worker.
        worker.stalls = min(MAX_STALLS, worker.stalls + 1)
        suspect_s = min(MAX_STALL_SUSPECT_S, STALLED_S * 2**worker.stalls)
        worker.suspect(now + suspect_s)
        for run in running:
            # A gang would lose the work of all its members.
            if not run.step.gang:
                self._stop_run(run, now)

    def _take_listed_run(self, worker, run, row, now):
        if incarnations.is_of_other_incarnation(run, worker):
            # Its start command arrived after the restart. The record is updated so that
            # a new owner knows it too.
            run.worker_started_at_ms = worker.started_at_ms
            run.long_lease_until_ms = self._read_long_lease_ms(worker, now)
            run.pace_percent = None
            if run.key.job_id in self.jobs_by_id:
                self._mark_dirty(self.jobs_by_id[run.key.job_id])
        if run.late_until and not run.has_begun:
            self._record_begun(run, now)
        if run.state in STARTING_STATES:
            run.state = model.RunState.RUNNING
            run.percent_at = now
            if run.known_since is None:
                run.known_since = now
        self._note_run_begun(run)
        run.load = row.load
        if row.percent != run.percent:
            run.percent, run.percent_at = row.percent, now
        self._erase_silence(run)
        step = self._find_step(run.key)
        if step is not None:
            step.waiting_since_by_index.pop(run.key.index, None)
        if step is not None and row.checkpoint:
            step.checkpoints_by_index[step.index_for(run.key.index)] = row.checkpoint

    def _settle_unlisted_runs(self, worker, unlisted_by_key, sent_at, now):
        """Process the live runs that an answer with all ends does not list.

        An answer that may omit ends proves nothing about them: each may have ended as
        done, and would run again if its task were started elsewhere.

        Args:
          worker: A model.Worker.
          unlisted_by_key: Model.Runs by TaskKey.
          sent_at: A float, when the poll was sent.
          now: A float.
        """
        doubtful_by_key = worker.doubtful_by_key or {}
        missing, others = [], []
        for key, run in unlisted_by_key.items():
            is_doubtful = doubtful_by_key.get(key) is run
            (missing if is_doubtful else others).append(run)
        if worker.doubtful_by_key is not None:
            worker.doubtful_by_key = None
            self._lose_missing_runs(worker, missing, now)
        for run in others:
            self._take_unlisted_run(run, sent_at, now)

    def _take_unlisted_run(self, run, sent_at, now):
        """Process a live run of which the worker lists neither the run nor its end."""
        if self._is_unanswered(run, sent_at):
            if now < run.resend_until:
                self._resend_start(run)
            else:
                self._abandon_start(run, now)
        elif run.state is model.RunState.UNHEARD or (
            run.stop_confirmed_at is not None and sent_at > run.stop_confirmed_at
        ):
            self._release_run(run, now)

    def _abandon_start(self, run, now):
        """Stop a run whose worker answers polls but no start; prefer other workers.

        By now the first copy has arrived at any worker that carries out starts.
        """
        run.is_abandoned = True
        self.notes.append(notes.StartAbandoned(run.key, run.run, run.worker_id))
        step = self._find_step(run.key)
        index = step.index_for(run.key.index)
        step.avoided_by_index.setdefault(index, set()).add(run.worker_id)
        self._stop_run(run, now)

    def _stop_unknown_run(self, worker, row, now):
        """Stop a run that no record names, unless a late start has begun it."""
        step = self._find_step(row.key)
        # A run of an unknown job may use the whole worker.
        unknown = specs.Step(1, worker.entry.total)
        spec = step.spec if step is not None else unknown
        if row.key in worker.runs_by_key or self._adopt_late_run(worker, row, now):
            return
        run = model.Run(
            row.key,
            row.run,
            worker.worker_id,
            spec,
            model.RunState.RUNNING,
            worker_started_at_ms=worker.started_at_ms,
        )
        self._charge_run(worker, run)
        self._stop_run(run, now)


def has_broken_off(answer, sent_at, now):
    """Whether a poll broke off while it waited, as when the worker's process ends.

    A worker that lost power and is back resets earlier connections at once.

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
    """Whether a worker has ended after it announced that it drains.

    Its entry states that it is draining, it answered within LEAVE_WINDOW_S, its port
    refuses connections, and the store no longer lists it. The entry of a worker that is
    merely silent stays longer.

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
