"""Incarnations of workers: which one answers, and what ended with the one before.

A worker may restart under its old id. It has then lost its state, and its clock and
the numbers of its ends begin anew, so the state that an owner keeps of a worker belongs
to one incarnation. An incarnation is an id with a start time; start times are compared
for equality alone, since a clock may jump back.

Only the answer to a poll proves which incarnation has an address. A new one is handled
as a successor handles a worker: the earlier runs are in doubt until a poll has listed
what runs now. That poll carries a higher fencing token than every call before it, so a
command for the ended incarnation that is still in transit is fenced, or its run is in
the answer to the poll.
"""

import msgspec

from thornport.cell.decisions import (
    ending,
    leases,
    losses,
    messages,
    model,
    notes,
    opencalls,
)
from thornport.kernel import clock

# The low bits of a fencing token count the incarnations that an owner has met; the high
# bits are the owner's token. At 64 incarnations a day, the rate expected of all workers
# in two years, they last one owner 1,000 days; the 47 bits left for the owner's token
# never run out.
FENCE_BITS = 16


class Incarnations(ending.Ending):
    """Tracks the incarnations of workers."""

    def _make_worker(self, entry, is_listed=True):
        """Create an incarnation of a worker with a fencing number of its own.

        Args:
          entry: A messages.WorkerEntry.
          is_listed: Whether the store lists the worker.
        Returns:
          A model.Worker; it is not in `workers_by_id` yet.
        """
        self._last_fence += 1
        if self._last_fence >> FENCE_BITS:
            # The next owner has another token, and its numbers begin anew.
            self.is_fenced = True
        worker = model.Worker(
            entry,
            self._earlier_over_at,
            is_listed=is_listed,
            started_at_ms=entry.started_at_ms,
            fence=self._last_fence,
            open_calls=self.open_calls_by_id.setdefault(
                entry.worker_id, opencalls.OpenCalls()
            ),
        )
        worker.speed = self.speeds.find(worker.machine)
        self._restore_host_losses(worker)
        return worker

    def make_token(self, worker):
        """Make the fencing token of calls to a worker's incarnation, an int."""
        return self.token << FENCE_BITS | worker.fence

    def has_answered(self, worker_id):
        """Whether the known incarnation of a worker has answered a poll."""
        worker = self.workers_by_id.get(worker_id)
        return worker is not None and worker.is_heard

    # Entries of the store.

    def _take_entry(self, worker, listed, now):
        """Apply an entry under the id of a known worker.

        A write to the store may be late, so it never ends an incarnation that answers:
        the entry of another incarnation is held back until that one has answered.

        Args:
          worker: A model.Worker.
          listed: A model.ListedWorker.
          now: A float.
        """
        if is_of_incarnation(listed.entry, worker):
            worker.update_entry(listed, now)
        elif worker.is_heard:
            worker.other_listed = listed
            worker.doubted_at = now
            self.commands.append(messages.PollAgain(worker.worker_id))
        else:
            worker.other_listed = model.ListedWorker(worker.entry, worker.revision)
            worker.started_at_ms = listed.entry.started_at_ms
            worker.update_entry(listed, now)
        self.needs_pass = True

    # Answers of the worker.

    def _is_restart(self, worker, started_at_ms):
        """Whether an answer proves that the known incarnation is over.

        Args:
          worker: A model.Worker.
          started_at_ms: An int, the start time in the answer; None if it has none.
        """
        if not worker.is_heard or started_at_ms is None:
            return False
        return started_at_ms != worker.started_at_ms

    def _begin_incarnation(self, worker, started_at_ms, poll_deadline_ms, now):
        """Replace an incarnation by one that answers at its id and address.

        Args:
          worker: A model.Worker, the incarnation that is over.
          started_at_ms: An int, when the one that answered started.
          poll_deadline_ms: An int, the deadline in the poll that it answered.
          now: A float.
        """
        loss = losses.make_loss(worker, now)
        self._recent_losses.append(loss)
        self._note_host_lost(worker, loss.at)
        later = self._make_worker(worker.entry, worker.is_listed)
        later.started_at_ms = started_at_ms
        later.revision = worker.revision
        later.unlisted_at = worker.unlisted_at
        later.other_listed = worker.other_listed
        later.earlier = worker
        # Starts in transit may still begin there, until a poll is answered.
        later.unheard_until = now + leases.EARLIER_LEASE_S
        if later.open_calls.list_arrived(now):
            later.unheard_until += self.lease_bounds.extra_s
        self._note_incarnation_over(
            worker, notes.WorkerEnd.RESTARTED, started_at_ms, poll_deadline_ms
        )
        self.workers_by_id[worker.worker_id] = later
        self._transfer_runs(worker, later, now)
        self._apply_own_entry(later, now)
        self._forget_advice(worker.worker_id)
        self.needs_pass = True

    def _transfer_runs(self, worker, later, now):
        """Transfer the runs of an ended incarnation to the next one, as in doubt."""
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
                # No start was sent, and none will be: only RECORDING runs are started.
                self._release_run(run, now)

    def _confirm_incarnation(self, worker, started_at_ms, now):
        """Apply the first answer of an incarnation; its entry may be another's.

        Args:
          worker: A model.Worker that has not answered before.
          started_at_ms: As for `_is_restart`.
          now: A float.
        """
        if started_at_ms is not None:
            worker.started_at_ms = started_at_ms
        if worker.earlier is None:
            # Since when calls failed bounds how long the earlier incarnation's runs
            # went on.
            worker.earlier = model.Worker(
                worker.entry,
                now,
                revision=worker.revision,
                silent_since=worker.silent_since,
            )
        self._apply_own_entry(worker, now)

    def _bound_first_lease_ms(self, worker, clock_ms, now):
        """Bound the lease of an incarnation that answers for the first time.

        It takes no call for an earlier incarnation any more.

        Args:
          worker: A model.Worker.
          clock_ms: An int, its clock.
          now: A float.
        Returns:
          An int, on its clock.
        """
        bounds = self.lease_bounds
        if worker.has_long_lease or self._may_hold_lease_of_earlier(worker, now):
            return bounds.bound_unknown_ms(clock_ms)
        arrived = []
        # A worker that states no start has a new id after each restart.
        if worker.started_at_ms is not None:
            arrived = worker.open_calls.list_arrived(now)
        return bounds.bound_first_ms(clock_ms, arrived, now)

    def _may_hold_lease_of_earlier(self, worker, now):
        """Whether a late call of an earlier owner may have extended a lease."""
        sent_until = self._earlier_over_at - leases.EARLIER_LEASE_S
        is_over = now >= sent_until + self.lease_bounds.open_call_s
        if is_over or worker.started_at_ms is None:
            return False
        for run in worker.runs_by_key.values():
            is_here = run.worker_started_at_ms == worker.started_at_ms
            if is_here and run.long_lease_until_ms is not None:
                # The earlier owner had met this incarnation.
                return False
        wall_ms = self._read_wall_ms(now)
        age_s = (wall_ms - worker.started_at_ms) / clock.MS_PER_S
        return not wall_ms or self.lease_bounds.is_young(age_s)

    def _drop_old_calls(self, now):
        """Drop the calls that bear on no lease any more."""
        since = now - self.lease_bounds.open_call_s
        for worker_id, calls in list(self.open_calls_by_id.items()):
            calls.drop_older(since)
            if calls.is_empty() and worker_id not in self.workers_by_id:
                del self.open_calls_by_id[worker_id]

    def _apply_own_entry(self, worker, now):
        """Describe an incarnation by its own entry, if the store has listed it."""
        listed = worker.other_listed
        if listed is not None and is_of_incarnation(listed.entry, worker):
            worker.other_listed = None
            worker.is_listed = True
            worker.update_entry(listed, now)

    def _lose_missing_runs(self, worker, runs, now):
        """End the earlier runs that the first list of all ends does not account for.

        Runs commanded at another incarnation are lost with it. The others have not
        begun, and are started again if their starts may still arrive.

        Args:
          worker: A model.Worker.
          runs: A list of model.Run.
          now: A float.
        """
        earlier, worker.earlier = worker.earlier, None
        earlier.runs_by_key = {
            run.key: run for run in runs if is_of_other_incarnation(run, worker)
        }
        self._lose_runs(earlier, now, notes.WorkerEnd.RESTARTED)
        for run in runs:
            if run.state is model.RunState.OVER:
                continue
            if self._may_resend(run, now):
                self._resend_start(run)
            else:
                self._release_run(run, now)

    def _switch_address(self, worker, now):
        """Switch to the other address that the store has for a silent worker.

        Args:
          worker: A model.Worker whose leases have all expired.
          now: A float.
        """
        listed = worker.other_listed
        if listed is None or listed.entry.address == worker.entry.address:
            return
        self.end_worker(worker, now, notes.WorkerEnd.LAPSED)
        later = self._make_worker(listed.entry)
        later.update_entry(listed, now)
        self.workers_by_id[later.worker_id] = later


def trim_first_poll(request):
    """Make a poll safe for a worker that may have restarted since it last answered.

    A new connection may reach a later incarnation. That one would take `last_seen`, a
    number of the earlier one's ends, for its own, and discard ends that no owner has
    seen. The poll does not wait either: runs that begin and end during the wait would
    be discarded likewise. Its deadline would be one of another clock.

    Args:
      request: A messages.HoldRequest.
    Returns:
      A messages.HoldRequest.
    """
    return msgspec.structs.replace(request, deadline_ms=0, last_seen=0, wait_ms=0)


def is_of_incarnation(entry, worker):
    """Tell whether an entry belongs to the known incarnation of a worker.

    Args:
      entry: A messages.WorkerEntry under the worker's id.
      worker: A model.Worker.
    Returns:
      A bool.
    """
    is_there = entry.address == worker.entry.address
    return is_there and entry.started_at_ms == worker.started_at_ms


def is_of_other_incarnation(run, worker):
    """Tell whether a run was commanded at another incarnation than the known one.

    Args:
      run: A model.Run.
      worker: A model.Worker.
    Returns:
      A bool; false if it is not known.
    """
    commanded_at = run.worker_started_at_ms
    return commanded_at is not None and commanded_at != worker.started_at_ms
