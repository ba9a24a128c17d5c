"""Calls to workers in the world of tests, and the faults that befall them.

Answers are lost, orders are carried out seconds later, workers are out of reach, and
tasks fail or crash the worker that they run at.
"""

import msgspec

from standins import leased_worker
from tests import worldlives
from thornport.cell.decisions import incarnations, leases, messages

# Starts of a task that crashes its workers: once three have crashed, two more are
# allowed, by the users.
MOST_CRASHES = 5


class OpenLook(msgspec.Struct, frozen=True):
    """A look that waits at a worker.

    Attributes:
      due: A float, when it is answered though nothing has ended.
    """

    request: messages.HoldRequest
    sent_at: float
    due: float


class LateCall(msgspec.Struct, frozen=True):
    """A call that was left unanswered and is carried out later.

    Attributes:
      due: A float, when.
      order: A messages.StartOrder, StopOrder, PaceOrder or HoldRequest.
      life: The leased_worker.LeasedWorker that it was sent to.
    """

    due: float
    order: (
        messages.StartOrder
        | messages.StopOrder
        | messages.PaceOrder
        | messages.HoldRequest
    )
    life: leased_worker.LeasedWorker


class Faults:
    """What goes wrong, by the chances of one world.

    Attributes:
      lost: A float, the chance that an answer of a worker is lost.
      late: Likewise, that an order is left unanswered and carried out later.
      failing: Likewise, that a task fails.
      late_s: A pair of floats, how much later at the least and at the most.
      late_looks: A float, the chance that a look is left unanswered and carried out
        later.
    """

    def __init__(
        self,
        rng,
        lost=0.0,
        late=0.0,
        failing=0.0,
        late_s=(2.0, 12.0),
        late_looks=0.0,
    ):
        self.late_looks = late_looks
        self.rng = rng
        self.lost = lost
        self.late = late
        self.failing = failing
        self.late_s = late_s

    def draw(self, chance):
        """Whether something of this chance happens now."""
        return self.rng.random() < chance


class Calls:
    """The part of a world in which orders and looks reach workers, or do not.

    Attributes:
      faults: The Faults.
      calm_from: A float; before it, orders or answers were being lost or late, so that
        the bound on cancelled jobs counts from there.
      silenced: Ids of workers whose answers are lost, though they do as told.
      cut: Ids of workers that nothing reaches.
      started_at_by_key: When each task was last started, by TaskKey.
      failing: Ids of workers at which all tasks fail that start there.
      looks_wait: A bool, whether looks wait for ends as they ask to.
      open_looks: The OpenLook that waits at each worker, by id.
      late_calls: A list of LateCall.
      crashing: Pairs of job id and task index: tasks that crash their worker.
      crashes_by_key: How many workers each of them has crashed, by TaskKey.
      has_tickets: A bool, whether a start brings a ticket, as where advice is asked: it
        holds at one life of a worker alone.
    """

    def _set_up_calls(self, faults, looks_wait):
        """Begin.

        Args:
          faults: A Faults.
          looks_wait: A bool, whether looks wait for ends as they ask to; else each is
            answered at once.
        """
        self.faults = faults
        self.calm_from = self.now
        self.silenced = set()
        self.cut = set()
        self.started_at_by_key = {}
        self.failing = set()
        self.looks_wait = looks_wait
        self.open_looks = {}
        self.late_calls = []
        self.crashing = set()
        self.crashes_by_key = {}
        self.has_tickets = True
        self._connected = set()
        self._doomed = []

    def reach_again(self, worker_id):
        """A worker that was cut off or silenced is as the others again."""
        self.cut.discard(worker_id)
        self.silenced.discard(worker_id)
        self.calm_from = self.now

    def _carry_out(self):
        for order in self.owner.take_commands():
            if isinstance(order, messages.PollAgain):
                self.open_looks.pop(order.worker_id, None)
                continue
            is_start = isinstance(order, messages.StartOrder)
            if is_start:
                self.check_recorded(order)
            worker = self._find_at(order.address)
            if order.worker_id in self.refusing:
                outcome = messages.NotReached("refused", is_refused=True)
            elif worker is None or worker.worker_id in self.cut:
                outcome = messages.Unanswered("silent")
            elif is_start and self._is_of_another_clock(order, worker):
                outcome = messages.NotReached("another clock")
            elif self.faults.draw(self.faults.late):
                due = self.now + self.faults.rng.uniform(*self.faults.late_s)
                self.late_calls.append(LateCall(due, order, worker))
                outcome = messages.Unanswered("late")
            else:
                outcome = self._do(worker, order)
                if self._loses_answer(order.worker_id):
                    outcome = messages.Unanswered("lost")
                elif isinstance(order, messages.StopOrder):
                    self.open_looks.pop(order.worker_id, None)
            self._take_outcome(order, outcome)

    def _is_of_another_clock(self, order, worker):
        """Whether a start is not sent, as its deadline is one of a former life's clock.

        The processes poll a worker on a new connection first, which tells its clock.
        """
        if order.worker_id != worker.worker_id:
            return False
        clock_ms = worker.read_clock_ms(self.now)
        is_other = order.started_at_ms != worker.started_at_ms
        return is_other or not leases.may_send(order.deadline_ms, clock_ms)

    def _take_outcome(self, order, outcome):
        """Tell the owner the outcome of an order."""
        take_by_type = {
            messages.StartOrder: self.owner.take_start_outcome,
            messages.StopOrder: self.owner.take_stop_outcome,
            messages.PaceOrder: self.owner.take_pace_outcome,
        }
        take_by_type[type(order)](order, outcome, self.now)

    def _do(self, worker, order):
        if isinstance(order, messages.StopOrder):
            return worker.stop(order, self.now)
        if isinstance(order, messages.PaceOrder):
            return worker.pace(order, self.now)
        step = self._read_spec(order.key)
        fails = worker.worker_id in self.failing or self.faults.draw(
            self.faults.failing
        )
        gang_size = step.count if step.gang else 0
        count = len(worker.started)
        outcome = worker.start(
            order,
            step.demand,
            step.estimate_ms,
            fails,
            self.now,
            gang_size,
            step.fills,
            step.tail_target_ms,
        )
        if len(worker.started) > count:
            self.started_at_by_key[order.key] = self.now
            self.check_start(order, worker)
            self._doom(order, worker)
        return outcome

    def _read_spec(self, key):
        """The spec.Step of a task that was handed in."""
        return self.submitted_by_id[key.job_id].job.steps[key.step]

    def _doom(self, order, worker):
        """Have a worker crash a moment after the start of a task that crashes it."""
        key = order.key
        if (key.job_id, key.index) not in self.crashing:
            return
        crashes = self.crashes_by_key.get(key, 0)
        assert crashes < MOST_CRASHES, f"{key} is started after {crashes} crashes"
        self.crashes_by_key[key] = crashes + 1
        self._doomed.append(worker.worker_id)

    def _do_late_calls(self):
        due = [call for call in self.late_calls if call.due <= self.now]
        self.late_calls = [call for call in self.late_calls if call.due > self.now]
        for call in due:
            worker = self._find_at(call.order.address)
            is_start = isinstance(call.order, messages.StartOrder)
            is_barred = self.has_tickets and is_start and worker is not call.life
            if worker is None:
                continue
            if isinstance(call.order, messages.HoldRequest):
                worker.hold(call.order, self.now)
            elif is_barred:
                worker.refuse(call.order, self.now)
            else:
                self._do(worker, call.order)

    def _find_at(self, address):
        """The life of a worker that has an address; None if there is none."""
        for worker in self.workers_by_id.values():
            if worldlives.make_address(worker.worker_id) == address:
                return worker
        return None

    def _loses_answer(self, worker_id):
        return worker_id in self.silenced or self.faults.draw(self.faults.lost)

    def _look(self, worker_id):
        """Send a look unless one waits; take the answer once there is one."""
        look = self.open_looks.pop(worker_id, None) or self._send_look(worker_id)
        if look is None:
            return
        worker = self._find_at(look.request.address)
        is_reached = worker is not None and worker.worker_id not in self.cut
        is_meant = is_reached and worker.worker_id == worker_id
        if is_meant and self.now < look.due and not worker.ended:
            self.open_looks[worker_id] = look
            return
        if worker_id in self.refusing:
            answer = messages.NotReached("refused", is_refused=True)
        elif not is_reached or self._loses_answer(worker_id):
            answer = messages.Unanswered("lost")
        else:
            answer = worker.hold(look.request, self.now)
            self._connected.add(worker)
        self.owner.take_poll(look.request, look.sent_at, answer, self.now + 0.001)

    def _delay_look(self, request, worker):
        """Have a worker carry out a look later; nobody hears of it."""
        due = self.now + self.faults.rng.uniform(*self.faults.late_s)
        self.late_calls.append(LateCall(due, request, worker))
        answer = messages.Unanswered("late")
        self.owner.take_poll(request, self.now, answer, self.now + 0.001)

    def _send_look(self, worker_id):
        """Send a look: the worker renews the leases when it comes."""
        request = self.owner.make_poll(worker_id, self.now)
        if request is None:
            return None
        wait_s = request.wait_ms / 1000 if self.looks_wait else 0.0
        worker = self.workers_by_id.get(worker_id)
        if worker is not None and worker not in self._connected:
            # On a new connection, as the processes do it.
            request, wait_s = incarnations.trim_first_poll(request), 0.0
        if worker is not None and worker_id not in self.cut:
            if self.faults.late_looks and self.faults.draw(self.faults.late_looks):
                self._delay_look(request, worker)
                return None
            if wait_s:
                worker.hold(request, self.now)
        return OpenLook(request, self.now, self.now + wait_s)
