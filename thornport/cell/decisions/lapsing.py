"""Requests advice for tasks of silent workers before the workers' leases are over.

The tasks of a lost worker start elsewhere once its lease is over. Where a call for
advice takes seconds, a task that asked only then would be down for longer than users
allow. When the lease ends is known as soon as the worker is silent, so the tickets are
requested in time for it. If the worker answers again, one call was made in vain.
"""

import collections

from thornport.cell.decisions import asking, eligibility, placing, ticketing


class Lapsing(ticketing.Ticketing):
    """Requests advice for the steps whose runs are at silent workers."""

    def _ask_before_lapses(self, reserved, now):
        """Request tickets for the tasks that are about to lose their workers.

        Args:
          reserved: The reserving.Reservations of the pass.
          now: A float.
        """
        lapse_at_by_key, tasks_by_key = self._list_lapsing(now)
        self._lapsing_keys = frozenset(lapse_at_by_key)
        for key, lapse_at in lapse_at_by_key.items():
            step = self._find_step(key)
            queue = self._queue_of(self.jobs_by_id[key.job_id])
            if queue.advice is None or not self._may_ask(step, now):
                continue
            candidates = self._find_candidates(step, queue, now)
            lead_s = ticketing.compute_lead_s(queue.advice, candidates.workers)
            if lapse_at - now > lead_s:
                continue
            tasks = tasks_by_key[key] + len(step.waiting)
            ticketed = eligibility.list_ticketed(step, candidates, now)
            if placing.has_room(step, ticketed, reserved, tasks):
                continue
            need = asking.Need.NOW
            self._ask_advice(step, queue, candidates, reserved, need, now, tasks)

    def _list_lapsing(self, now):
        """List the steps with runs at silent workers.

        Gangs are left out: all members of one are stopped before it starts again, and
        their room counts as used until then.

        Returns:
          A dict of floats, the first end of a worker's lease, by messages.StepKey, and
          a collections.Counter of the runs by StepKey.
        """
        lapse_at_by_key = {}
        tasks_by_key = collections.Counter()
        for worker in self.workers_by_id.values():
            if worker.silent_since is None:
                continue
            lapse_at = worker.compute_lapse_at()
            for run in worker.runs_by_key.values():
                step = self._find_step(run.key)
                is_live = step and step.live_by_index.get(run.key.index) is run
                if not is_live or step.spec.gang or run.key.index in step.done:
                    continue
                if self.jobs_by_id[run.key.job_id].is_over():
                    continue
                earliest = lapse_at_by_key.get(step.key, lapse_at)
                lapse_at_by_key[step.key] = min(earliest, lapse_at)
                tasks_by_key[step.key] += 1
        return lapse_at_by_key, tasks_by_key
