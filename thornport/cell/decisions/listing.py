"""Lists of the workers that steps may use, made once for many steps.

Looking at each worker for each step takes too long in a cell of thousands, so steps
that the same workers may run share a list for a while. A worker may have changed since
then, so it is checked once more before a task starts there.
"""

from thornport.cell.decisions import cellstate, eligibility, placing

# Maximum age of a list that rounds for urgent steps, and jobs that come, may use: in a
# cell of thousands more jobs come than lists can be made. Rounds for all steps make new
# lists.
MAX_LIST_AGE_S = 0.1


class Listing(cellstate.CellState):
    """Lists workers by service and kind of step."""

    def _renew_lists(self, now, longest_s=0.0):
        """Have the workers listed anew if they were listed too long ago.

        Args:
          now: A float.
          longest_s: A float; 0 to list them anew in any case.
        """
        if not longest_s or now - self._listed_at > longest_s:
            self._candidates_by_kind.clear()
            self._listed_at = now

    def _find_candidates(self, step, queue, now, with_suspects=False):
        """Find the workers that steps like one may use, as they were listed last.

        Args:
          with_suspects: A bool, whether it may use suspect workers too.
        Returns:
          A placing.Candidates; `_is_there` tells which of them are so still.
        """
        kind = (queue.service, eligibility.read_kind(step), with_suspects)
        candidates = self._candidates_by_kind.get(kind)
        if candidates is None:
            allowed = [
                worker
                for worker in self.workers_by_id.values()
                if worker.entry.service == queue.service
                and eligibility.is_allowed(step, worker, now, with_suspects)
            ]
            candidates = placing.Candidates(allowed, with_suspects)
            self._candidates_by_kind[kind] = candidates
        return candidates

    def _find_listed(self, service):
        """Find all workers of a service, as they were listed last; a Candidates."""
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
        """Whether a worker that was listed a moment ago still takes tasks."""
        if self.workers_by_id.get(worker.worker_id) is not worker:
            return False
        refusal = eligibility.find_refusal(worker, now, candidates.has_suspects)
        return refusal is None
