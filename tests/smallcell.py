"""A few workers and one owner's decisions, in simulated time and without faults.

For tests of decisions under load: tasks run as long as the test says, stops take their
time, and a saved run goes on from where it was stopped.
"""

import collections

from thornport.cell.decisions import core, messages
from thornport.jobs import queue, record, spec

STEP_S = 0.05


class Live:
    """A run at a worker.

    Attributes:
      left_s: A float, the work that is left of the task.
      stop_at: A float, when a stop has taken effect; None without a stop.
    """

    def __init__(self, run, worker_id, left_s, whole_s):
        """Begin a run."""
        self.run = run
        self.worker_id = worker_id
        self.left_s = left_s
        self.whole_s = whole_s
        self.stop_at = None

    def read_percent(self):
        """The progress, an int."""
        return min(99, int(100 * (1 - self.left_s / self.whole_s)))


class SmallCell:
    """Workers, an owner and the jobs handed in.

    Attributes:
      now: A float, the time.
      core: The core.CellCore that decides.
      live: Lives by messages.TaskKey.
      started: Pairs of a messages.TaskKey and a worker id, in order.
      submitted_at, ended_at: Floats by job id.
      records: The persisted record.JobRecords by job id.
      progress: The persisted progress of jobs, bytes by job id.
      silent: Ids of workers that answer nothing.
    """

    def __init__(self, queues, totals, speeds=(), stop_s=None):
        """Begin with empty workers.

        Args:
          queues: A tuple of queue.Queue.
          totals: A list of spec.Demand, one for each worker.
          speeds: Floats, one for each worker; none for 1.0 each.
          stop_s: A float, how long a stop takes; None if the owner does not know.
        """
        self.now = 100.0
        self._config = queue.Config(1, queues)
        self._stop_s = stop_s
        self._totals = {f"w{number}": total for number, total in enumerate(totals)}
        self._speeds = dict(zip(self._totals, speeds, strict=False))
        self._ended = {worker_id: [] for worker_id in self._totals}
        self._numbers = collections.Counter()
        self._run_s_by_job = {}
        self._saved_s = {}
        self.records = {}
        self.progress = {}
        self.silent = set()
        self.live = {}
        self.started = []
        self.submitted_at = {}
        self.ended_at = {}
        self._token = 0
        self.take_over()

    def take_over(self):
        """Have a new owner read what is persisted; the earlier one is gone."""
        self._token += 1
        self.core = core.CellCore(
            self._token, self.now, self.now + 10.0, 120.0, stop_s=self._stop_s
        )
        self.core.take_config(self._config, self.now)
        for number, (worker_id, total) in enumerate(self._totals.items()):
            entry = messages.WorkerEntry(
                worker_id,
                f"a:{number}",
                "press",
                "h",
                messages.WorkerState.READY,
                total,
            )
            self.core.take_worker(entry, number + 1, self.now)
        for kept in self.records.values():
            self.core.take_job(kept, self.now)
        for job_id, value in self.progress.items():
            saved = record.decode_progress(value)
            self.core.restore_progress(job_id, saved, self.now)
        self.core.note_earlier_owners_gone(self.now, self.now)
        for worker_id in self._totals:
            self.poll(worker_id)

    def submit(self, job_id, job_queue, *steps, run_s=1.0, waited_s=0.0):
        """Hand in a job; each of its tasks has some seconds of work."""
        self.submitted_at[job_id] = self.now - waited_s
        self._run_s_by_job[job_id] = run_s
        accepted_at_ms = int(self.submitted_at[job_id] * 1000)
        job = spec.Job("t", steps)
        self.records[job_id] = record.JobRecord(job_id, job_queue, job, accepted_at_ms)
        self.core.take_job(self.records[job_id], self.now)

    def poll(self, worker_id):
        """Poll a worker and answer."""
        request = self.core.make_poll(worker_id, self.now)
        if request is None:
            return
        if worker_id in self.silent:
            answer = messages.Unanswered("silent")
        else:
            answer = self._answer(worker_id, request.last_seen)
        self.core.take_poll(request, self.now, answer, self.now)

    def _answer(self, worker_id, last_seen):
        ended = [end for end in self._ended[worker_id] if end.number > last_seen]
        self._ended[worker_id] = ended
        rows = [
            messages.RunningRow(key, one.run, "saved", one.read_percent())
            for key, one in self.live.items()
            if one.worker_id == worker_id
        ]
        return messages.HoldAnswer(int(self.now * 1000), rows, list(ended))

    def _end(self, key, kind):
        one = self.live.pop(key)
        self._numbers[one.worker_id] += 1
        number = self._numbers[one.worker_id]
        saved = "saved" if kind is messages.EndKind.STOPPED else ""
        row = messages.EndRow(number, key, one.run, kind, saved)
        self._ended[one.worker_id].append(row)
        if kind is messages.EndKind.DONE:
            self.ended_at[key.job_id] = self.now
        else:
            self._saved_s[key] = one.left_s

    def _work(self):
        for key, one in list(self.live.items()):
            if one.stop_at is not None:
                if self.now >= one.stop_at:
                    self._end(key, messages.EndKind.STOPPED)
                continue
            one.left_s -= STEP_S * self._speeds.get(one.worker_id, 1.0)
            if one.left_s <= 0:
                self._end(key, messages.EndKind.DONE)

    def step(self):
        """Let a little time pass: work, polls, a pass, its records and commands."""
        self.now += STEP_S
        self._work()
        for worker_id in self._totals:
            self.poll(worker_id)
        self.core.tick(self.now, int(self.now * 1000))
        self.core.place(self.now)
        self._persist()
        for command in self.core.take_commands():
            self._carry_out(command)
        self._persist()

    def _persist(self):
        self.core.take_persisted(None, self.now, self.now)
        while (batch := self.core.make_batch()) is not None:
            self.progress.update(batch.progress_by_job)
            for job_id, value in batch.closed_by_job.items():
                self.records[job_id] = record.decode_job(value)
                self.progress.pop(job_id, None)
            self.core.take_persisted(batch, self.now, self.now)

    def _carry_out(self, command):
        if isinstance(command, messages.PaceOrder):
            # Tasks here do not disturb one another.
            done = messages.Done(int(self.now * 1000))
            self.core.take_pace_outcome(command, done, self.now)
            return
        if not isinstance(command, messages.StartOrder | messages.StopOrder):
            return
        is_start = isinstance(command, messages.StartOrder)
        take = self.core.take_start_outcome if is_start else self.core.take_stop_outcome
        if command.worker_id in self.silent:
            take(command, messages.Unanswered("silent"), self.now)
            return
        if is_start:
            self._start(command)
        elif command.key in self.live and self.live[command.key].stop_at is None:
            self.live[command.key].stop_at = self.now + (self._stop_s or 0.0)
        take(command, messages.Done(int(self.now * 1000)), self.now)

    def _start(self, command):
        key = command.key
        assert key not in self.live, f"{key} runs twice"
        whole_s = self._run_s_by_job[key.job_id]
        left_s = self._saved_s.get(key, whole_s) if command.checkpoint else whole_s
        self.live[key] = Live(command.run, command.worker_id, left_s, whole_s)
        self.started.append((key, command.worker_id))

    def run(self, seconds):
        """Let time pass."""
        for _ in range(round(seconds / STEP_S)):
            self.step()

    def count_in_time(self, objective_s, since=0.0):
        """Count the jobs handed in since a time that met their objective."""
        return sum(
            self.ended_at.get(job_id, 1e9) - at <= objective_s
            for job_id, at in self.submitted_at.items()
            if at >= since
        )
