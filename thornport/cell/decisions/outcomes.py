"""Handling of the outcomes of start and stop commands."""

from thornport.cell.decisions import ending, latestarts, messages, model


class Outcomes(ending.Ending):
    """Takes the answers to commands.

    A start command without an answer may have arrived, or may arrive later: its run
    counts as live until a stop is confirmed or its lease is over, and its task waits as
    long as the start may still arrive; see `latestarts`.
    """

    def take_stop_outcome(self, command, outcome, now):
        """Take the answer to a stop command.

        Args:
          command: The messages.StopOrder.
          outcome: A messages.Done, Rejected, NotReached or Unanswered.
          now: A float.
        """
        worker = self.workers_by_id.get(command.worker_id)
        if worker is None or command.token != self.make_token(worker):
            # A run barred at an incarnation that is over is not barred at the next.
            return
        run = worker.runs_by_key.get(command.key)
        if isinstance(outcome, messages.Rejected):
            self._take_rejection(worker, command, outcome, now)
        elif isinstance(outcome, messages.Done) and run and run.run == command.run:
            run.stop_confirmed_at = now

    def take_start_outcome(self, command, outcome, now):
        """Take the answer to a start command.

        Args:
          command: The messages.StartOrder.
          outcome: A messages.Done, Rejected, NotReached or Unanswered.
          now: A float.
        """
        worker = self.workers_by_id.get(command.worker_id)
        self._note_start_outcome(command, outcome, now)
        run = self._late_runs_by_key.get(command.key)
        if run is not None and run.run == command.run:
            self._take_late_outcome(run, outcome, now)
            return
        run = worker.runs_by_key.get(command.key) if worker else None
        if run is None or run.run != command.run:
            if isinstance(outcome, messages.Unanswered):
                self._note_earlier_unanswered(command, now)
            return
        if isinstance(outcome, messages.Done):
            self._note_run_begun(run)
            run.note_newest_settled()
            if not command.ticket:
                self._record_begun(run, now)
            if run.state is model.RunState.ORDERED:
                run.state = model.RunState.RUNNING
                step = self._find_step(run.key)
                if step is not None:
                    step.waiting_since_by_index.pop(run.key.index, None)
            if run.step.fills:
                self._send_paces(worker, now)
        elif isinstance(outcome, messages.Unanswered):
            worker.note_silence(now)
            worker.avoid(now + ending.AVOID_S)
            if command.ticket:
                self._stop_run(run, now)
            else:
                self._note_start_unanswered(run, now)
        elif isinstance(outcome, messages.NotReached):
            if not isinstance(outcome, messages.Withheld):
                worker.avoid(now + ending.AVOID_S)
            self._take_unsent_start(run, now)
        else:
            self._take_rejected_start(worker, run, command, outcome, now)

    def _note_start_outcome(self, command, outcome, now):
        """Note whether a start may still bring a lease."""
        calls = self.open_calls_by_id.get(command.worker_id)
        if calls is None:
            return
        name = (command.key, command.run)
        if isinstance(outcome, messages.Unanswered):
            # It leaves late where its worker was polled first.
            calls.note_unanswered(name, sent_by=now)
        else:
            calls.note_settled(name)

    def _take_late_outcome(self, run, outcome, now):
        """Take the answer to a start whose run is over."""
        if isinstance(outcome, messages.Unanswered):
            self._note_start_unanswered(run, now)
        else:
            run.note_newest_settled()

    def _take_unsent_start(self, run, now):
        """Handle a start that did not reach the worker."""
        run.note_newest_settled()
        if run.has_more_copies:
            # An earlier copy may have arrived, which the next poll shows.
            run.note_unanswered(now, now + latestarts.LATE_START_S)
        else:
            self._release_run(run, now)

    def _take_rejected_start(self, worker, run, command, outcome, now):
        run.note_newest_settled()
        if run.has_more_copies and outcome.reason is not messages.Rejection.REPLACED:
            # An earlier copy may have begun the run, which may have ended since.
            self._take_rejection(worker, command, outcome, now)
            if run.state is model.RunState.ORDERED:
                self._stop_run(run, now)
            return
        run.late_until = 0.0
        if outcome.reason is messages.Rejection.TICKET:
            step = self._find_step(run.key)
            if step is not None:
                step.tickets_by_worker.pop(worker.worker_id, None)
        else:
            if outcome.reason is messages.Rejection.REPLACED:
                # It never began there, so it is not lost with the runs that did.
                self._release_run(run, now)
            self._take_rejection(worker, command, outcome, now)
        if not self.is_fenced:
            self._release_run(run, now)
