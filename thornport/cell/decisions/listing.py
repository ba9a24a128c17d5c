"""Caches the lists of candidate workers by kind of step.

Checking each worker for each step takes too long in a cell of thousands of workers, so
steps that the same workers may run share a list for a while. A worker may have changed
since it was listed, so it is checked again before a task starts there.
"""

from thornport.cell.decisions import cellstate, eligibility, placing

# Maximum age of a list for passes over urgent steps and for newly accepted jobs: in a
# cell of thousands of workers, jobs arrive faster than lists can be made. Passes over
# all steps make new lists.
MAX_LIST_AGE_S = 0.1


class Listing(cellstate.CellState):
    """Caches candidate workers by service and kind of step."""

    def _renew_lists(self, now, max_age_s=0.0):
        """Drop the cached lists if they are too old.

        Args:
          now: A float.
          max_age_s: A float, their maximum age; 0 to drop them in any case.
        """
        if not max_age_s or now - self._listed_at > max_age_s:
            self._candidates_by_kind.clear()
            self._listed_at = now

    def _find_candidates(self, step, queue, now, is_last_resort=False):
        """Find the workers that a step of this kind may use, listing them if needed.

        Args:
          is_last_resort: A bool, as for `eligibility.is_allowed`.
        Returns:
          A placing.Candidates; check each with `_is_still_eligible` before a start.
        """
        kind = (queue.service, eligibility.read_kind(step), is_last_resort)
        candidates = self._candidates_by_kind.get(kind)
        if candidates is None:
            allowed = [
                worker
                for worker in self.workers_by_id.values()
                if worker.entry.service == queue.service
                and eligibility.is_allowed(step, worker, now, is_last_resort)
            ]
            candidates = placing.Candidates(allowed, is_last_resort)
            self._candidates_by_kind[kind] = candidates
        return candidates

    def _find_listed(self, service):
        """Find all listed workers of a service, a placing.Candidates from the cache."""
        candidates = self._candidates_by_kind.get(service)
        if candidates is None:
            listed = [
                worker
                for worker in self.workers_by_id.values()
                if worker.entry.service == service and worker.is_listed
            ]
            candidates = placing.Candidates(listed)
            self._candidates_by_kind[service] = candidates
        return candidates

    def _is_still_eligible(self, worker, candidates, now):
        """Whether a candidate is still known and still takes tasks."""
        if self.workers_by_id.get(worker.worker_id) is not worker:
            return False
        refusal = eligibility.find_refusal(worker, now, candidates.is_last_resort)
        return refusal is None
