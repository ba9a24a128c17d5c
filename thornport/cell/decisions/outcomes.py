"""What came of the orders to workers: of starts and of stops."""

from thornport.cell.decisions import ending, messages, model


class Outcomes(ending.Ending):
    """Takes the answers to orders.

    A start without an answer may have arrived: its run counts as live until a
    stop is confirmed or its lease is over.
    """

    def take_stop_outcome(self, order, outcome, now):
        """Take the answer to a stop.

        Args:
          order: The messages.StopOrder.
          outcome: A messages.Done, Rejected, NotReached or Unanswered.
          now: A float.
        """
        worker = self.workers_by_id.get(order.worker_id)
        if worker is None or order.token != self.make_token(worker):
            # What a life that is over has stopped is not barred at the next.
            return
        run = worker.runs_by_key.get(order.key)
        if isinstance(outcome, messages.Rejected):
            self._take_rejection(worker, order, outcome, now)
        elif isinstance(outcome, messages.Done) and run and run.run == order.run:
            run.stop_confirmed_at = now

    def take_start_outcome(self, order, outcome, now):
        """Take the answer to a start.

        Args:
          order: The messages.StartOrder.
          outcome: A messages.Done, Rejected, NotReached or Unanswered.
          now: A float.
        """
        worker = self.workers_by_id.get(order.worker_id)
        run = worker.runs_by_key.get(order.key) if worker else None
        if run is None or run.run != order.run:
            return
        if isinstance(outcome, messages.Done):
            if run.state is model.RunState.ORDERED:
                run.state = model.RunState.RUNNING
                step = self._find_step(run.key)
                if step is not None:
                    step.waiting_since_by_index.pop(run.key.index, None)
        elif isinstance(outcome, messages.Unanswered):
            worker.note_silence(now)
            worker.avoid(now + ending.AVOID_S)
            self._stop_run(run, now)
        elif isinstance(outcome, messages.NotReached):
            worker.avoid(now + ending.AVOID_S)
            self._release_run(run, now)
        else:
            self._take_rejected_start(worker, run, order, outcome, now)

    def _take_rejected_start(self, worker, run, order, outcome, now):
        if outcome.reason is messages.Rejection.TICKET:
            step = self._find_step(run.key)
            if step is not None:
                step.tickets_by_worker.pop(worker.worker_id, None)
        else:
            if outcome.reason is messages.Rejection.REPLACED:
                # It never began there, so it is not lost with what did.
                self._release_run(run, now)
            self._take_rejection(worker, order, outcome, now)
        if not self.is_fenced:
            self._release_run(run, now)
