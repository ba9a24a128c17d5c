"""The owner's model of a cell: workers, runs, steps and jobs.

A task has at most one live run. A run counts against its worker's capacity from
the decision to start it until it is certainly over.
"""

import collections
import enum
import math

import msgspec

from thornport.cell.decisions import evidence, messages, opencalls
from thornport.cell.decisions.contention import prospects, sharing, speeds
from thornport.jobs import record, spec
from thornport.kernel import clock

# The users' bound: the least rate of a worker's clock against the owner's.
MIN_CLOCK_RATE = 0.98
LAPSE_MARGIN_S = 0.1  # allows for timers that fire late, the owner's and the worker's
NO_TICKET = ("", -math.inf)  # text and deadline where advice has issued no ticket
GANG_INDEX = -1  # stands for all tasks of a gang


class RunState(enum.Enum):
    """The states of a run that may be live.

    RECORDING: decided; the start command is sent, or sent again, only once the record
      is persisted.
    ORDERED: the start command was sent; RUNNING: the worker has confirmed the run.
    UNHEARD: recorded by an earlier owner, or commanded at an earlier incarnation; no
      complete answer of the worker has shown yet what became of it.
    STOPPING: being stopped; live until the stop is certain.
    OVER: certainly not live any more, unless a late start command begins it again.
    """

    RECORDING = "recording"
    ORDERED = "ordered"
    RUNNING = "running"
    UNHEARD = "unheard"
    STOPPING = "stopping"
    OVER = "over"


# States of runs whose start no worker has confirmed.
UNCONFIRMED_STATES = frozenset({RunState.RECORDING, RunState.ORDERED})


class Run(msgspec.Struct, eq=False):
    """A run that may be live.

    Attributes:
      commanded_at: A float, when the start command was sent; None before.
      known_since: A float, when this owner commanded it or first heard that it runs.
      stop_confirmed_at: A float, when the worker confirmed the stop; None before.
      stop_due_at: A float, when the stop command is to be sent or repeated.
      percent: An int, the progress last reported, at `percent_at`.
      address: A str, the worker's address; empty if unknown.
      worker_started_at_ms: An int, when the worker's incarnation started; None if
        unknown.
      ticket_until: A float, when a start whose record is persisted is given up unless
        its next ticket has come; None while it waits for no ticket.
      trial_points: An int, the suspicion of its task when it was started; see
        `evidence`.
      decided_at: A float, when its start was decided; None if the record of an earlier
        owner does not tell.
      decided_at_ms: An int, the same in milliseconds since 1970, for its record; 0 if
        unknown.
      silent_after_ms: An int, how long after its start its worker fell silent; None
        while the worker answers, or if that was long after the start.
      unanswered_at: A float, when its start command went unanswered; None if it did not
        or if the command was sent again since.
      resend_until: A float, until when an unanswered start command is sent again; None
        while none went unanswered.
      is_abandoned: Whether its start command went unanswered for so long that it is not
        sent again.
      is_resumed: Whether it was started from a checkpoint.
      has_result: Whether its worker has reported it as done or failed.
      has_begun: Whether a copy of its start command is known to have been carried out.
      has_more_copies: Whether another start command of its task may be in transit, so
        that one may still arrive after the run is known to have begun.
      usual_s: A float, how long a task of its step is expected to run on a machine of
        the usual speed.
      late_until: A float, until when a copy of its start command may still arrive at a
        later incarnation of the worker; see `latestarts`.
      earlier_until: A float, the same for the copies before the newest one.
      load: An int, as last reported; see messages.RunningRow.
      pace_percent: An int, the pace that its worker has acknowledged; None if unknown.
      pace_order: The messages.PaceOrder that is on its way; None if there is none.
      pace_doubted_until: A float, until when an unanswered pace command may arrive.
      was_paced: Whether this owner has sent it a lower pace than the full one.
      long_lease_until_ms: An int, milliseconds since 1970, until when its worker's
        lease may last longer than those that are granted; see `leases`. 0 for no such
        lease, None if its record does not tell.
    """

    key: messages.TaskKey
    run: int
    worker_id: str
    step: spec.Step
    state: RunState
    commanded_at: float | None = None
    known_since: float | None = None
    stop_confirmed_at: float | None = None
    stop_due_at: float = 0.0
    percent: int = 0
    percent_at: float = 0.0
    address: str = ""
    worker_started_at_ms: int | None = None
    ticket_until: float | None = None
    trial_points: int = 0
    decided_at: float | None = None
    decided_at_ms: int = 0
    silent_after_ms: int | None = None
    unanswered_at: float | None = None
    resend_until: float | None = None
    is_abandoned: bool = False
    is_resumed: bool = False
    has_result: bool = False
    has_begun: bool = False
    has_more_copies: bool = False
    late_until: float = 0.0
    earlier_until: float = 0.0
    usual_s: float = 0.0
    load: int | None = None
    pace_percent: int | None = None
    pace_order: messages.PaceOrder | None = None
    pace_doubted_until: float = 0.0
    was_paced: bool = False
    long_lease_until_ms: int | None = 0

    def __post_init__(self):
        """Expect the job's own estimate unless more is known."""
        self.usual_s = self.usual_s or self.step.estimate_ms / clock.MS_PER_S

    def has_pace(self, percent, now):
        """Whether it is known to work at a pace, an int of percent."""
        return self.pace_percent == percent and now >= self.pace_doubted_until

    def may_be_paced(self):
        """Whether it may work, and thus progress, at less than its full pace."""
        return self.step.fills and self.pace_percent != sharing.FULL_PERCENT

    def note_sent(self, late_until):
        """Note that a start command of it is sent.

        Args:
          late_until: A float, until when this copy may arrive.
        """
        self.unanswered_at = None
        self.earlier_until = self.late_until
        self.late_until = late_until

    def note_newest_settled(self):
        """Note that the newest copy was answered or not sent, so it is not late."""
        self.late_until = self.earlier_until

    def note_unanswered(self, now, resend_until):
        """Note that a start command of it has no answer.

        Args:
          now: A float.
          resend_until: A float, as the attribute; the first one holds.
        """
        self.unanswered_at = now
        if self.resend_until is None:
            self.resend_until = resend_until

    def note_begun(self):
        """Note that a copy of its start command was carried out or answered.

        If it was the only copy, none can arrive late any more.
        """
        self.has_begun = True
        self.unanswered_at = None
        if not self.has_more_copies:
            self.late_until = 0.0

    def has_reusable_id(self):
        """Whether a later incarnation of its worker may have the same id.

        A worker that states no start has a new id after each restart.
        """
        return self.worker_started_at_ms is not None

    @property
    def step_key(self):
        """The messages.StepKey of its step."""
        return messages.StepKey(self.key.job_id, self.key.time, self.key.step)

    @property
    def demand(self):
        """The Demand that counts against the worker's capacity."""
        return self.step.demand


class UnpersistedEnd(msgspec.Struct, frozen=True):
    """An end of a run that a worker reported and that is not persisted yet.

    Attributes:
      number: An int that acknowledges the end, so that the worker may forget it.
      key: The messages.TaskKey of the run.
    """

    number: int
    key: messages.TaskKey


class ListedWorker(msgspec.Struct, frozen=True):
    """A worker's entry in the store.

    Attributes:
      entry: A messages.WorkerEntry.
      revision: An int, the store's revision of the entry.
    """

    entry: messages.WorkerEntry
    revision: int


class Worker(msgspec.Struct, eq=False):
    """An incarnation of a worker.

    Attributes:
      entry: Its messages.WorkerEntry; until that comes, an earlier incarnation's.
      started_at_ms: An int, when it started, by its answers once it is heard; None if
        it does not state that.
      fence: An int, higher than that of each incarnation before; see `incarnations`.
      other_listed: A ListedWorker of another incarnation under this id, or None.
      doubted_at: A float, when the store listed another incarnation than the one that
        answers; None once a later poll is answered.
      earlier: The Worker of an incarnation that may have ended unnoticed, until it is
        known which of its runs are over; None otherwise.
      revision: An int, the store's revision of the entry; 0 if there was none and
        the worker is known only from the records of its runs.
      leaves_at: A float, the earliest time at which it leaves; None if not stated.
      is_listed: Whether the store lists it.
      unlisted_at: A float, when an entry that lapsed in an outage of the store counts
        as removed; None while the entry exists.
      is_heard: Whether it has answered this owner.
      used: Demand of its live runs.
      runs_by_key: Its live Runs by TaskKey.
      clock_ms: An int, its clock as reported at `heard_at`.
      sent_ms: An int on its clock, the latest deadline that this owner sent to it.
      granted_ms: An int on its clock, the latest end that its lease can have.
      open_calls: The calls with a deadline to this id that may arrive late, to earlier
        incarnations as well; an OpenCalls that they share.
      has_long_lease: Whether an earlier owner recorded that its lease may last longer
        than those that are granted.
      unheard_until: A float; if this owner has never heard it, all runs that an
        earlier owner started there are over by then.
      seen_number, acked_number: Numbers of the last end taken in and of the last one
        that is persisted.
      unpersisted_ends: UnpersistedEnds, in order of their numbers.
      doubtful_by_key: Runs from before its first answer, by TaskKey, that its answers
        have neither listed nor ruled out, as they omitted ends; None once an answer
        has listed all ends.
      omits_ends: Whether its last answer may have omitted ends.
      has_withheld_ends: Whether the acknowledgement of its ends waits for a start that
        may arrive late; see `latestarts`.
      failures: An int, failed runs since the last one that was done.
      last_failure: The messages.EndRow of the last one counted; None before the first.
      stalls: An int, how often all its tasks stalled since any made progress.
      avoid_until: A float; it gets no starts before then, because calls to it fail.
      suspected_until: A float; tasks failed or stalled there, so until then it gets
        only starts of jobs of which nothing has run for long.
      unanswered_at: A float, when the last poll failed; None after an answer.
      silent_since: A float, when the first call failed since the worker last answered
        a poll; None after an answer.
      is_broken_off: Whether the connection of a waiting poll broke at `silent_since`,
        so that the worker was up until then.
      filling_count, serving_count: Live runs that use leftover capacity, and
        live runs that serve users of their own.
      pace: The sharing.Pace of its filling runs; None while it doesn't also serve.
      trial: The last Run started here of a task that may have crashed a worker, or
        None. Nothing else starts until it has run for a while.
      loss: Its losses.Loss while it is silent and its leases are over, as its runs are
        released then; None otherwise.
      speed: The speeds.MachineSpeed of its machine.
      host_lost_at: A float, when an earlier incarnation was last lost on its host.
      host_losses: An int, how many were lost there of late; see `attribution`.
    """

    entry: messages.WorkerEntry
    unheard_until: float
    revision: int = 0
    leaves_at: float | None = None
    is_listed: bool = True
    unlisted_at: float | None = None
    is_heard: bool = False
    used: spec.Demand = spec.Demand()
    runs_by_key: dict[messages.TaskKey, Run] = msgspec.field(default_factory=dict)
    clock_ms: int = 0
    heard_at: float = 0.0
    sent_ms: int = 0
    granted_ms: int = 0
    seen_number: int = 0
    acked_number: int = 0
    unpersisted_ends: collections.deque[UnpersistedEnd] = msgspec.field(
        default_factory=collections.deque
    )
    doubtful_by_key: dict[messages.TaskKey, Run] | None = None
    omits_ends: bool = False
    has_withheld_ends: bool = False
    failures: int = 0
    last_failure: messages.EndRow | None = None
    stalls: int = 0
    avoid_until: float = 0.0
    suspected_until: float = 0.0
    unanswered_at: float | None = None
    silent_since: float | None = None
    is_broken_off: bool = False
    filling_count: int = 0
    serving_count: int = 0
    pace: sharing.Pace | None = None
    trial: Run | None = None
    speed: speeds.MachineSpeed = msgspec.field(default_factory=speeds.MachineSpeed)
    started_at_ms: int | None = None
    fence: int = 0
    other_listed: ListedWorker | None = None
    doubted_at: float | None = None
    earlier: "Worker | None" = None
    loss: msgspec.Struct | None = None
    host_lost_at: float = -math.inf
    host_losses: int = 0
    has_long_lease: bool = False
    open_calls: opencalls.OpenCalls = msgspec.field(default_factory=opencalls.OpenCalls)
    _free: spec.Demand | None = None

    def update_entry(self, listed, now):
        """Take its new or changed entry.

        Args:
          listed: A ListedWorker.
          now: A float.
        """
        self.entry = listed.entry
        self._free = None
        self.revision = listed.revision
        self.leaves_at = listed.entry.read_leaves_at(now)
        self.is_listed = True
        self.unlisted_at = None

    def has_own_entry(self):
        """Whether its entry is its own: incarnations may differ in capacity."""
        is_own = self.entry.started_at_ms == self.started_at_ms
        return is_own and self.doubted_at is None

    def note_silence(self, now, is_broken_off=False):
        """Note that a call failed: the worker may be gone since then.

        Args:
          now: A float.
          is_broken_off: Whether it was up until then; see the attribute.
        """
        if self.silent_since is None:
            self.silent_since = now
            self.is_broken_off = is_broken_off

    def avoid(self, until):
        """Give it no starts before a time, a float; the latest such time holds."""
        self.avoid_until = max(self.avoid_until, until)

    def suspect(self, until):
        """Give it few starts before a time, a float; the latest such time holds."""
        self.suspected_until = max(self.suspected_until, until)

    @property
    def worker_id(self):
        """A str, the worker's id."""
        return self.entry.worker_id

    @property
    def machine(self):
        """A str that names its machine; its own id if its entry names none."""
        return self.entry.machine or self.entry.worker_id

    @property
    def host(self):
        """A str that stays with its machine over restarts under other ids."""
        return self.entry.machine or self.entry.address

    def compute_free(self):
        """The free capacity, a Demand; cached, since passes ask for it often."""
        if self._free is None:
            self._free = self.entry.total.subtract(self.used)
        return self._free

    def read_clock_ms(self, now):
        """Estimate the worker's clock; a slow clock is behind the estimate."""
        return self.clock_ms + int((now - self.heard_at) * 1000)

    def compute_lapse_at(self):
        """Compute when every lease sent to it is over, whichever messages were lost."""
        if not self.is_heard:
            return self.unheard_until
        left_s = max(0, self.granted_ms - self.clock_ms) / 1000
        return self.heard_at + left_s / MIN_CLOCK_RATE + LAPSE_MARGIN_S

    def add_run(self, run):
        """Count a run against the capacity."""
        self.runs_by_key[run.key] = run
        self.used = self.used.add(run.demand)
        self._free = None
        self.filling_count += run.step.fills
        self.serving_count += run.step.tail_target_ms > 0

    def remove_run(self, run):
        """Free the capacity of a run."""
        if self.runs_by_key.get(run.key) is run:
            del self.runs_by_key[run.key]
            self.used = self.used.subtract(run.demand)
            self._free = None
            self.filling_count -= run.step.fills
            self.serving_count -= run.step.tail_target_ms > 0


class StepState(msgspec.Struct, eq=False):
    """A step of a job at one of the job's times.

    Attributes:
      key: Its messages.StepKey.
      spec: Its spec.Step.
      waiting: Indexes of tasks that have no live run and are not done.
      done: Indexes of tasks that are done.
      live_by_index: Live Runs by task index.
      late_by_index: Runs that are over, by task index, while a copy of their start
        command may still arrive. The task starts only at that run's worker meanwhile.
      failures_by_index: Failed runs by task index; GANG_INDEX for a gang, whose members
        share a run.
      failed_run_by_index: The number of the last run that is counted there, keyed
        likewise, so that its other ends are not counted.
      checkpoints_by_index: The latest checkpoints, keyed likewise.
      crash_evidence: The evidence.Evidence that its tasks crash their workers.
      trial_due_by_index: Floats by task index, also in a gang: when a task that may
        crash its workers may be tried again; no entry if it need not be delayed.
      avoided_by_index: Ids of workers on which a task failed, keyed likewise.
      last_run: An int, the highest run number assigned.
      longest_s: A float, the longest run of its tasks that are done, of runs that this
        owner commanded, as if all machines were of the usual speed.
      run_logs: Pairs of the name of a machine and the logarithm of the seconds that a
        task ran there, of the same runs; emptied once the step is done.
      is_done: Whether every task is done.
      is_advanced: Whether its job has processed that.
      tickets_by_worker: Pairs of ticket text and its deadline.
      asked_ids: Ids of workers that advice was requested for.
      permitted_ids: Those of them that may run the step.
      scan_offset: An int, how many workers were scanned without finding one with free
        capacity that advice may be requested for.
      is_advising: Whether a call for advice is open.
      has_unused_advice: Whether advice came that no scheduling pass has used yet.
      retry_advice_at: A float, no call for advice is made before.
      idle_since: A float, since when it may start while no run of its job is known to
        progress, or, if its tasks are lasting, since when one of them waits; None
        otherwise.
      waiting_since_by_index: Floats, since when lasting tasks wait to run.
      reported_stall: The reasons reported for its present stall; empty before.
      stall_due_at: A float, when its blockers are checked again.
      is_late_reported: Whether its wait past its job's objective was reported.
      is_at_limit: Whether its wait for its workspace's limit was reported.
      usual_s: A float, how long a task of it is expected to run on a machine of the
        usual speed.
    """

    key: messages.StepKey
    spec: spec.Step
    waiting: set[int] = msgspec.field(default_factory=set)
    done: set[int] = msgspec.field(default_factory=set)
    live_by_index: dict[int, Run] = msgspec.field(default_factory=dict)
    late_by_index: dict[int, Run] = msgspec.field(default_factory=dict)
    failures_by_index: dict[int, int] = msgspec.field(default_factory=dict)
    failed_run_by_index: dict[int, int] = msgspec.field(default_factory=dict)
    checkpoints_by_index: dict[int, str] = msgspec.field(default_factory=dict)
    crash_evidence: evidence.Evidence = msgspec.field(default_factory=evidence.Evidence)
    trial_due_by_index: dict[int, float] = msgspec.field(default_factory=dict)
    avoided_by_index: dict[int, set[str]] = msgspec.field(default_factory=dict)
    last_run: int = 0
    longest_s: float = 0.0
    run_logs: list[tuple[str, float]] = msgspec.field(default_factory=list)
    is_done: bool = False
    is_advanced: bool = False
    tickets_by_worker: dict[str, tuple[str, float]] = msgspec.field(
        default_factory=dict
    )
    asked_ids: set[str] = msgspec.field(default_factory=set)
    permitted_ids: set[str] = msgspec.field(default_factory=set)
    scan_offset: int = 0
    is_advising: bool = False
    has_unused_advice: bool = False
    retry_advice_at: float = 0.0
    idle_since: float | None = None
    waiting_since_by_index: dict[int, float] = msgspec.field(default_factory=dict)
    reported_stall: frozenset = frozenset()
    stall_due_at: float = 0.0
    is_late_reported: bool = False
    is_at_limit: bool = False
    usual_s: float = 0.0

    def __post_init__(self):
        """Expect the job's own estimate unless more is known."""
        self.usual_s = self.usual_s or self.spec.estimate_ms / clock.MS_PER_S

    def count_failure(self, run):
        """Count a run that has failed as an attempt, once for all of its ends.

        Several members of a gang may fail in one run, and a late copy of a start
        command may begin a run again that has failed.

        Args:
          run: A Run of it.
        """
        index = self.index_for(run.key.index)
        if run.run > self.failed_run_by_index.get(index, 0):
            self.failed_run_by_index[index] = run.run
            self.failures_by_index[index] = self.failures_by_index.get(index, 0) + 1

    def read_ticket_deadline(self, worker_id):
        """When a worker's ticket lapses, a float; minus infinity if it has none."""
        _, deadline = self.tickets_by_worker.get(worker_id, NO_TICKET)
        return deadline

    def forget_advice(self):
        """Drop the tickets and worker ids, so that none of its tasks start."""
        self.tickets_by_worker.clear()
        self.asked_ids.clear()
        self.permitted_ids.clear()

    def forget_worker(self, worker_id):
        """Drop what advice and failed runs showed about a worker, by its id, a str."""
        self.tickets_by_worker.pop(worker_id, None)
        self.asked_ids.discard(worker_id)
        self.permitted_ids.discard(worker_id)
        for avoided in self.avoided_by_index.values():
            avoided.discard(worker_id)

    def list_runs(self, index):
        """List the live run of a task, and the one of which a start may arrive late.

        Args:
          index: An int, the task's.
        Returns:
          A list of Run.
        """
        by_index = (self.live_by_index, self.late_by_index)
        return [runs[index] for runs in by_index if index in runs]

    def index_for(self, index):
        """The index under which a task's failures and checkpoints are stored."""
        return GANG_INDEX if self.spec.gang else index


class JobEntry(msgspec.Struct, eq=False):
    """A job.

    Attributes:
      record: Its record.JobRecord.
      order: An int that rises with acceptance.
      state: The record.JobState decided; visible to callers once persisted.
      persisted_state: The record.JobState that the store has.
      cause: The record.FailureCause of a job that has failed; None otherwise.
      steps_by_key: Its StepStates created so far, by StepKey.
      times_done: An int, how many of its times are over, counted from the first.
      was_placed: Whether a start of any task has been decided.
      has_run: Whether a run of any task is known to have begun.
      ended_at: A float, when its end was persisted; None before.
      arrived_at: A float, when this owner learned of it.
      accepted_at: A float, when it was accepted, as far as this owner knows.
      bounds: The prospects.Bounds of its waiting tasks.
      prospect: Its prospects.Prospect when it was last listed with waiting tasks.
      prospect_until: A float, after which that has got worse.
      rank: A tuple, its rank in scheduling passes when it was last listed; the lowest
        is placed first.
      is_within_share: Whether the job is owed, as its workspace had not exceeded its
        weight when it was accepted; see `shares`.
      last_active_at: A float, when a run of it was last known to progress or, if later,
        when it was accepted, a time of it was due or its limit blocked it.
    """

    record: record.JobRecord
    order: int
    arrived_at: float
    state: record.JobState = record.JobState.QUEUED
    persisted_state: record.JobState = record.JobState.QUEUED
    cause: record.FailureCause | None = None
    steps_by_key: dict[messages.StepKey, StepState] = msgspec.field(
        default_factory=dict
    )
    times_done: int = 0
    was_placed: bool = False
    has_run: bool = False
    ended_at: float | None = None
    is_within_share: bool = True
    last_active_at: float = 0.0
    accepted_at: float = 0.0
    bounds: prospects.Bounds = prospects.UNBOUNDED
    prospect: prospects.Prospect = prospects.Prospect.IN_TIME
    prospect_until: float = math.inf
    rank: tuple = ()

    def __post_init__(self):
        """Count it as accepted and active when this owner learned of it."""
        self.last_active_at = max(self.last_active_at, self.arrived_at)
        self.accepted_at = self.arrived_at

    @property
    def job_id(self):
        """A str."""
        return self.record.job_id

    def list_step_keys(self, time):
        """List the messages.StepKey of all its steps at one of its times."""
        count = len(self.record.job.steps)
        return [messages.StepKey(self.job_id, time, n) for n in range(count)]

    def close(self):
        """Keep only its state: its steps with their tickets take much memory.

        Runs that have yet to end keep their capacity at their workers.
        """
        self.steps_by_key.clear()
        self.record = record.close_job(self.record, self.state, self.cause)

    def is_starting(self):
        """Whether a start of it is not yet confirmed by a worker."""
        return any(
            run.state in UNCONFIRMED_STATES
            for step in self.steps_by_key.values()
            for run in step.live_by_index.values()
        )

    def is_over(self):
        """Whether its end is decided."""
        return self.state in record.FINAL_STATES
