"""Lives of workers in the world of tests, and what the store lists of them.

A life is what runs under an id and an address until it ends; another may take both. An
entry may come late, lapse, or be written over, whether or not its life goes on.
"""

from standins import leased_worker
from thornport.cell.decisions import messages
from thornport.jobs import spec

SERVICE = "press-desk"
ROOM = spec.Demand(64_000, 131_072, 0)
# An entry goes after three heartbeats of silence, by the users.
ENTRY_S = 4.5
# A worker that a task has crashed is back after so long, as another life.
BACK_S = 3.0
LONGEST_CLOCK_S = 60.0  # at which the clock of a later life begins at most


class Lives:
    """The part of a world in which workers begin, end and are listed.

    Attributes:
      workers_by_id: The leased_worker.LeasedWorker of each life that goes on.
      ended_lives: Lives of workers that are over.
      entries_by_id: What the store lists of workers, also of lives that have ended, as
        pairs of a messages.WorkerEntry and its revision.
      unlisted: Ids of workers that the store does not list, though they live.
      back_s: A float, after what time a worker that crashed has another life.
      keeps_id: A bool, whether that has the id of the life before.
      states_starts: A bool, whether workers say when their lives began. Those that do
        not have a new id after each.
      refusing: Ids of workers whose port refuses.
      max_hold_ms: An int, the longest lease that workers grant.
      clock_rng: The random.Random by which the clock of a later life begins; None for
        it to begin at 0.
      breaks_off: A bool, whether the end of a life is seen at once where a look waits,
        as the connection breaks off; else the look is lost.
    """

    def _set_up_lives(self, worker_count, clock_rate, states_starts):
        """Begin.

        Args:
          worker_count: An int.
          clock_rate: A float, how fast the clocks of workers run.
          states_starts: A bool, as the attribute.
        """
        self.workers_by_id = {}
        self.ended_lives = []
        self.entries_by_id = {}
        self.unlisted = set()
        self.back_s = BACK_S
        self.keeps_id = False
        self.states_starts = states_starts
        self.refusing = set()
        self.breaks_off = False
        self.clock_rng = None
        self.racks_by_worker = {}
        self.revision = 0
        self._lapsing = []
        self._returning = []
        self._unlisted_lives = []
        self._clock_rate = clock_rate
        for number in range(worker_count):
            self._begin_life(f"w{number}", 0.0)

    def _begin_life(self, worker_id, began_at):
        """Start a life of a worker; nobody lists it yet."""
        if self.clock_rng is not None:
            began_at -= self.clock_rng.uniform(0.0, LONGEST_CLOCK_S)
        started_at_ms = int(self.now * 1000) if self.states_starts else None
        self.workers_by_id[worker_id] = leased_worker.LeasedWorker(
            worker_id,
            ROOM,
            self._clock_rate,
            started_at_ms,
            began_at,
            self.max_hold_ms,
        )

    def _end_life(self, worker_id):
        """End a life with all that runs there, and the look that waits there."""
        life = self.workers_by_id.pop(worker_id)
        self.noted_done |= life.noted_done
        self.ended_lives.append(life)
        look = self.open_looks.pop(worker_id, None)
        if look is not None and self.breaks_off:
            answer = messages.Unanswered("broken off", is_broken_off=True)
            self.owner.take_poll(look.request, look.sent_at, answer, self.now)

    def restart(self, worker_id, is_listed=True):
        """A worker ends and is there again at once, under its id.

        Args:
          worker_id: A str.
          is_listed: A bool, whether the store has the entry of the new life.
        """
        self._end_life(worker_id)
        self._begin_life(worker_id, self.now)
        if is_listed:
            self.list_worker(worker_id)

    def find_service(self, _worker_id):
        """The service of a worker, a str."""
        return SERVICE

    def list_again(self, entry):
        """Have a write come late: the store has an entry of a life that is over."""
        self.revision += 1
        self.entries_by_id[entry.worker_id] = (entry, self.revision)
        self.owner.take_worker(entry, self.revision, self.now)

    def list_worker(self, worker_id, state=messages.WorkerState.READY, leaves_in_ms=0):
        """Show a worker in the store."""
        worker = self.workers_by_id.get(worker_id)
        entry = messages.WorkerEntry(
            worker_id,
            make_address(worker_id),
            self.find_service(worker_id),
            "h1",
            state,
            ROOM if worker is None else worker.total,
            rack=self.racks_by_worker.get(worker_id.partition("-")[0], ""),
            leaves_in_ms=leaves_in_ms,
            started_at_ms=None if worker is None else worker.started_at_ms,
        )
        self.list_again(entry)

    def crash(self, worker_id):
        """A worker is lost with all that ran there."""
        self._end_life(worker_id)
        self._drop_entry(worker_id)

    def _drop_entry(self, worker_id):
        self.entries_by_id.pop(worker_id, None)
        self.owner.drop_worker(worker_id, self.now)

    def crash_for_a_while(self, worker_id, is_silent=False, back_s=None):
        """A worker ends with all that ran there; another life takes its address.

        Its entry stays until it lapses, or until the other life has written its own
        under the same id.

        Args:
          worker_id: A str.
          is_silent: A bool, whether nothing answers at its address meanwhile; else its
            port refuses.
          back_s: A float, after what time the other life is there; None for `back_s`.
        """
        self._end_life(worker_id)
        if not is_silent:
            self.refusing.add(worker_id)
        entry, _ = self.entries_by_id.get(worker_id, (None, None))
        self._lapsing.append((self.now + ENTRY_S, entry))
        back_at = self.now + (self.back_s if back_s is None else back_s)
        self._returning.append((back_at, worker_id))

    def _return_lives(self):
        due = [entry for entry in self._returning if entry[0] <= self.now]
        self._returning = [entry for entry in self._returning if entry[0] > self.now]
        for _, worker_id in due:
            place, _, life = worker_id.partition("-")
            later = worker_id if self.keeps_id else f"{place}-{int(life or 1) + 1}"
            self.refusing.discard(worker_id)
            self._begin_life(later, self.now)
            self._unlisted_lives.append(later)
        if self.is_store_away:
            return
        self._lapse_entries()
        for worker_id in self._unlisted_lives:
            if worker_id in self.workers_by_id:
                self.list_worker(worker_id)
        self._unlisted_lives.clear()

    def _lapse_entries(self):
        """Drop the entries of ended lives, unless another was written over them."""
        due = [entry for at, entry in self._lapsing if at <= self.now and entry]
        self._lapsing = [pair for pair in self._lapsing if pair[0] > self.now]
        for entry in due:
            if self.entries_by_id.get(entry.worker_id, (None, 0))[0] == entry:
                self._drop_entry(entry.worker_id)

    def unlist(self, worker_id):
        """The entry of a worker lapses, though the worker lives."""
        self.unlisted.add(worker_id)
        self._drop_entry(worker_id)

    def relist(self, worker_id):
        """A worker that lives has its entry back."""
        self.unlisted.discard(worker_id)
        self.list_worker(worker_id)

    def leave(self, worker_id):
        """A worker ends as it said it would: its port refuses."""
        self.crash(worker_id)
        self.refusing.add(worker_id)


def make_address(worker_id):
    """The address of a worker, which all its lives have."""
    return f"10.0.0.{worker_id.partition('-')[0][1:]}:1"
