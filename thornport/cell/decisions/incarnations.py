"""Lives of workers: which one answers, and what ended with the one before.

A worker may start again under the id that it had. It then knows nothing of before, and
its clock and the numbers of its ends begin anew, so all that an owner knows of a worker
is known of one life of it. A life is an id with the time of its start; starts are
compared for equality alone, for a clock may jump back.

Which life has an address only the worker there tells, by its answer to a look. A new
one is met as a successor meets a worker: what ran before is in doubt until a look has
told what runs now. That look carries a higher fencing token than every call before it,
so an order that was meant for the ended life and is still on its way finds itself
fenced, or is among what the look lists.
"""

import msgspec

from thornport.cell.decisions import (
    crashes,
    ending,
    leases,
    messages,
    model,
    notes,
)

# A fencing token is the owner's, then a number that rises with each life that it meets.
# At 64 lives a day, all of the workers in two years' time, an ownership that never ends
# has enough for 1,000 days; with 47 bits left, the owner's rises for ever.
FENCE_BITS = 16


class Incarnations(ending.Ending):
    """Tells the lives of workers apart."""

    def _make_worker(self, entry, is_listed=True):
        """Begin to know a life of a worker, and to call it under a token of its own.

        Args:
          entry: A messages.WorkerEntry.
          is_listed: Whether the store lists the worker.
        Returns:
          A model.Worker; it is not among the workers yet.
        """
        self._last_fence += 1
        if self._last_fence >> FENCE_BITS:
            # The next owner begins with a token of its own.
            self.is_fenced = True
        return model.Worker(
            entry,
            self._earlier_over_at,
            is_listed=is_listed,
            started_at_ms=entry.started_at_ms,
            fence=self._last_fence,
        )

    def make_token(self, worker):
        """Make the fencing token of the calls to a life of a worker, an int."""
        return self.token << FENCE_BITS | worker.fence

    def has_answered(self, worker_id):
        """Whether the life that has a worker's address has answered a look."""
        worker = self.workers_by_id.get(worker_id)
        return worker is not None and worker.is_heard

    # What the store says.

    def _take_entry(self, worker, listed, now):
        """Take an entry that is under the id of a known worker.

        A write to the store may come late, so it ends no life that answers: an entry of
        another life waits until that life has answered.

        Args:
          worker: A model.Worker.
          listed: A model.ListedWorker.
          now: A float.
        """
        if is_of_incarnation(listed.entry, worker):
            worker.describe(listed, now)
        elif worker.is_heard:
            worker.other_listed = listed
            worker.doubted_at = now
            self.orders.append(messages.LookAgain(worker.worker_id))
        else:
            worker.other_listed = model.ListedWorker(worker.entry, worker.revision)
            worker.started_at_ms = listed.entry.started_at_ms
            worker.describe(listed, now)
        self.needs_pass = True

    # What the worker says.

    def _is_restart(self, worker, started_at_ms):
        """Whether an answer shows that the life that answered before is over.

        Args:
          worker: A model.Worker.
          started_at_ms: An int, of the answer; None where workers do not say it.
        """
        if not worker.is_heard or started_at_ms is None:
            return False
        return started_at_ms != worker.started_at_ms

    def _begin_incarnation(self, worker, started_at_ms, now):
        """Take that another life has a worker's id and address.

        Args:
          worker: A model.Worker, of the life that is over.
          started_at_ms: An int, when the one that answered has started.
          now: A float.
        """
        self._recent_losses.append(crashes.make_loss(worker, now))
        later = self._make_worker(worker.entry, worker.is_listed)
        later.started_at_ms = started_at_ms
        later.revision = worker.revision
        later.unlisted_at = worker.unlisted_at
        later.other_listed = worker.other_listed
        later.earlier = worker
        # What was on its way may still begin there, until a look has answered.
        later.unheard_until = now + leases.EARLIER_LEASE_S
        self._note_incarnation_over(worker, notes.WorkerEnd.RESTARTED, started_at_ms)
        self.workers_by_id[worker.worker_id] = later
        self._transfer_runs(worker, later, now)
        self._apply_own_entry(later, now)
        self._forget_advice(worker.worker_id)
        self.needs_pass = True

    def _transfer_runs(self, worker, later, now):
        """Have the runs of an ended life in doubt at the one that took its place."""
        runs = list(worker.runs_by_key.values())
        for run in runs:
            if run.state is model.RunState.RECORDING:
                continue
            if run.state is model.RunState.RUNNING:
                self._note_work(worker, run, now)
            if run.state is not model.RunState.STOPPING:
                run.state = model.RunState.UNHEARD
            run.stop_confirmed_at = None
            run.percent = 0
            later.add_run(run)
        for run in runs:
            if run.state is model.RunState.RECORDING:
                # No order went out, and none will: only RECORDING runs are ordered.
                self._release_run(run, now)

    def _confirm_incarnation(self, worker, started_at_ms, now):
        """Take the first answer of a life: what the store says of it may be another's.

        Args:
          worker: A model.Worker that was not heard before.
          started_at_ms: As for `_is_restart`.
          now: A float.
        """
        if started_at_ms is not None:
            worker.started_at_ms = started_at_ms
        self._apply_own_entry(worker, now)

    def _apply_own_entry(self, worker, now):
        """Describe a life by its own entry, if that has come already."""
        listed = worker.other_listed
        if listed is not None and is_of_incarnation(listed.entry, worker):
            worker.other_listed = None
            worker.is_listed = True
            worker.describe(listed, now)

    def _lose_missing_runs(self, worker, runs, now):
        """Take that runs are over which are not there at the first look at a life.

        Those that began at a life before ended with it; of the others it is not known
        whether they began.

        Args:
          worker: A model.Worker.
          runs: A list of model.Run.
          now: A float.
        """
        earlier, worker.earlier = worker.earlier, None
        if earlier is None:
            earlier = model.Worker(worker.entry, now, revision=worker.revision)
        earlier.runs_by_key = {
            run.key: run for run in runs if is_of_other_incarnation(run, worker)
        }
        self._lose_runs(earlier, now, notes.WorkerEnd.RESTARTED)
        for run in runs:
            if run.state is not model.RunState.OVER:
                self._release_run(run, now)

    def _switch_address(self, worker, now):
        """Turn to the other address that the store has for a worker that is silent.

        Args:
          worker: A model.Worker of which every lease is over.
          now: A float.
        """
        listed = worker.other_listed
        if listed is None or listed.entry.address == worker.entry.address:
            return
        self.end_worker(worker, now, notes.WorkerEnd.LAPSED)
        later = self._make_worker(listed.entry)
        later.describe(listed, now)
        self.workers_by_id[later.worker_id] = later


def trim_first_poll(request):
    """Make of a look what may be asked of a life that is perhaps not the one meant.

    A new connection may reach a worker that has started again since it was last heard.
    It would take the numbers of ends that the life before was told are seen for its
    own, and forget ends of which nobody knows. It is not to wait either: what begins
    and ends there meanwhile would be forgotten likewise.

    Args:
      request: A messages.HoldRequest.
    Returns:
      A messages.HoldRequest.
    """
    return msgspec.structs.replace(request, last_seen=0, wait_ms=0)


def is_of_incarnation(entry, worker):
    """Tell whether an entry is of the life of a worker that is known.

    Args:
      entry: A messages.WorkerEntry under the worker's id.
      worker: A model.Worker.
    Returns:
      A bool.
    """
    is_there = entry.address == worker.entry.address
    return is_there and entry.started_at_ms == worker.started_at_ms


def is_of_other_incarnation(run, worker):
    """Tell whether a run was ordered at another life than the one that is known.

    Args:
      run: A model.Run.
      worker: A model.Worker.
    Returns:
      A bool; false if it is not known.
    """
    ordered_at = run.worker_started_at_ms
    return ordered_at is not None and ordered_at != worker.started_at_ms
