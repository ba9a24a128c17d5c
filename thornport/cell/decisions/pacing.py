"""Brings the paces of filling runs to what `sharing` wants of their workers.

Level-triggered: a run has the pace that its worker acknowledged last, and each poll
answer and outcome compares it with the wanted one. No answer tells the pace of a run,
so it is unknown while a command is on its way or went unanswered, and to a successor.
"""

from thornport.cell.decisions import cellstate, latestarts, messages, model
from thornport.cell.decisions.contention import sharing

# Maximum of open commands beyond which runs wait for their full pace: a successor sends
# it to each filling run of the cell once.
MAX_OPEN_PACES = 20


class Pacing(cellstate.CellState):
    """Paces filling runs on workers that also serve."""

    def _adapt_pace(self, worker, now):
        """Adapt the pace of the filling runs on a worker that has answered a poll.

        Args:
          worker: A model.Worker with filling runs.
          now: A float.
        """
        runs = worker.runs_by_key.values()
        tails = [
            sharing.Tail(run.step.tail_target_ms, run.load)
            for run in runs
            if run.step.tail_target_ms > 0
        ]
        percent = sharing.read_percent(worker.pace)
        is_settled = all(run.pace_percent == percent for run in runs if run.step.fills)
        worker.pace = sharing.adapt(worker.pace, tails, is_settled, now)
        self._send_paces(worker, now)

    def _pause_filling(self, worker, now):
        """Pause the filling runs on a worker that is about to share with another run.

        Args:
          worker: A model.Worker.
          now: A float.
        """
        worker.pace = sharing.pause(now, worker.pace)
        self._send_paces(worker, now)

    def _send_paces(self, worker, now):
        """Send the wanted pace to the filling runs on a worker that may have another.

        Args:
          worker: A model.Worker.
          now: A float.
        """
        if not worker.entry.address:
            return
        percent = sharing.read_percent(worker.pace)
        token = self.make_token(worker)
        for run in worker.runs_by_key.values():
            if not run.step.fills or run.state is not model.RunState.RUNNING:
                continue
            if run.pace_order is not None or run.has_pace(percent, now):
                continue
            if worker.pace is None and self._open_paces >= MAX_OPEN_PACES:
                return
            run.pace_order = messages.PaceOrder(
                run.worker_id, worker.entry.address, run.key, run.run, percent, token
            )
            run.pace_percent = None
            run.was_paced = run.was_paced or percent < sharing.FULL_PERCENT
            self._open_paces += 1
            self.commands.append(run.pace_order)

    def take_pace_outcome(self, command, outcome, now):
        """Take the answer to a pace command.

        Args:
          command: The messages.PaceOrder.
          outcome: A messages.Done, Rejected, NotReached or Unanswered.
          now: A float.
        """
        self._open_paces -= 1
        worker = self.workers_by_id.get(command.worker_id)
        run = worker.runs_by_key.get(command.key) if worker is not None else None
        if run is None or run.pace_order != command:
            return
        run.pace_order = None
        if isinstance(outcome, messages.Unanswered):
            # The command may be carried out after a newer one.
            run.pace_doubted_until = now + latestarts.LATE_START_S
        elif isinstance(outcome, messages.Done):
            run.pace_percent = command.percent
            # A run that was paced made little progress so far.
            run.percent_at = now
            if command.percent != sharing.read_percent(worker.pace):
                self._send_paces(worker, now)
        elif isinstance(outcome, messages.Rejected) and outcome.reason in (
            messages.Rejection.FENCED,
            messages.Rejection.REPLACED,
        ):
            self._take_rejection(worker, command, outcome, now)
