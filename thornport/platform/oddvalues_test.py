"""Any value under the operator's or the workers' keys is refused or can be used."""

import json
import types
import unittest
from unittest import mock

import hypothesis
import msgspec
from hypothesis import strategies as st
from twisted.internet import task

from thornport.cell.decisions import core, messages
from thornport.cell.owner import following
from thornport.cell.peers import peering, workercalls
from thornport.jobs import queue, record, spec
from thornport.kernel import clock, logs
from thornport.platform import config, config_test, entries, entries_test
from thornport.store import transactions

# A sixteenth of what is buffered for a slow reader of the log.
MAX_LINE_BYTES = logs.MAX_PENDING_BYTES // 16
MAX_INT64 = 2**63 - 1
# All the errors that what follows the values expects.
CONFIG_ERRORS = (msgspec.MsgspecError, ValueError)

ENTRY = entries_test.ENTRY | {"remaining_ms": 900, "born": 7, "machine": "m-1"}
NUMBERS = (
    0,
    1,
    -1,
    1e300,
    5e-324,
    2**53,
    2**63,
    2**64 - 1,
    10**20,
    -(10**20),
    10**400,
    entries.MAX_COUNT,
    entries.MAX_COUNT + 1,
    entries.MAX_DURATION_MS,
    entries.MAX_START_MS,
    config.MAX_RANK,
    config.MAX_STRETCH,
)
TEXTS = (
    "",
    "a" * entries.MAX_TEXT_CHARS,
    "a" * (entries.MAX_TEXT_CHARS + 1),
    "a\nb",
    "\x1b[2J",
    "\u2028",
    "\x00",
    "\ud800 lone",
    "\udfff",
    "\U0010ffff" * entries.MAX_TEXT_CHARS,
    "\u00e9" * entries.MAX_TEXT_CHARS,
    "10.0.0.1:80",
    "10.0.0.1:65536",
    "::1:80",
    "draining",
)
# JSON that an encoder would not write.
RAW = (
    "1e999",
    "-0",
    "1" * 4_300,
    "9" * 5_000,
    "[" * 100_000,
    '{"a":' * 100_000,
    "[" * 200 + "]" * 200,
    '"\\ud800"',
    "NaN",
)

scalars = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=8)
    | st.sampled_from(NUMBERS)
    | st.sampled_from(TEXTS)
)
values = st.recursive(
    scalars,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
        | st.lists(inner, min_size=1, max_size=1).map(lambda one: one * 100)
    ),
    max_leaves=6,
)
raw_values = values.map(json.dumps) | st.sampled_from(RAW)


class Raw(str):
    """JSON that stands for itself."""


def write(value):
    """Write a value as JSON, with a Raw in it as it is; a str."""
    if isinstance(value, Raw):
        return str(value)
    if isinstance(value, dict):
        members = (f"{json.dumps(key)}:{write(one)}" for key, one in value.items())
        return "{" + ",".join(members) + "}"
    if isinstance(value, list):
        return "[" + ",".join(write(one) for one in value) + "]"
    return json.dumps(value)


def list_places(value, place=()):
    """List the places of all values within a value, itself included, as tuples."""
    places = [place]
    if isinstance(value, dict | list):
        inner = value.items() if isinstance(value, dict) else enumerate(value)
        for key, one in inner:
            places += list_places(one, (*place, key))
    return places


def replace(value, place, new):
    """Return a copy of a value in which the value at a place is another one."""
    if not place:
        return new
    copy = value.copy()
    copy[place[0]] = replace(copy[place[0]], place[1:], new)
    return copy


def read_place(value, place):
    """Return the value at a place of a value."""
    for key in place:
        value = value[key]
    return value


def make_similar(value):
    """Make a strategy of JSON of the type of a value, a str, or of any type."""
    if isinstance(value, bool):
        return st.booleans().map(json.dumps)
    if isinstance(value, int | float):
        # The bounds themselves are among the odd numbers.
        small = st.integers(0, 10**9)
        if isinstance(value, float):
            small |= st.floats(0, 1e6)
        odd = st.sampled_from(NUMBERS) | st.integers()
        return choose(small, odd, 2).map(json.dumps)
    if isinstance(value, str):
        small = st.text(max_size=8)
        return choose(small, st.sampled_from(TEXTS), 2).map(json.dumps)
    if isinstance(value, list):
        # The same entries several times, or none.
        return st.integers(0, 100).map(lambda count: write(value * count))
    return raw_values


def choose(usual, rare, parts):
    """Make a strategy that takes one of `parts` values from the rare one."""
    numbers = st.integers(0, parts - 1)
    return numbers.flatmap(lambda number: usual if number else rare)


def mutate(valid):
    """Make a strategy of a valid value in which some places have other values.

    Args:
      valid: A dict as it is written to the store.
    Returns:
      A strategy of bytes.
    """

    def make_change(place):
        similar = make_similar(read_place(valid, place))
        return st.tuples(st.just(place), choose(similar, raw_values, 6))

    def apply(changes):
        changed = valid
        # The places within a value are gone once it is replaced.
        for place, new in sorted(changes, key=lambda one: -len(one[0])):
            changed = replace(changed, place, Raw(new))
        return write(changed).encode()

    places = st.sampled_from(list_places(valid)[1:])
    return st.lists(
        places.flatmap(make_change),
        min_size=1,
        max_size=2,
        unique_by=lambda change: change[0],
    ).map(apply)


def make_inputs(valid):
    """Make a strategy of bytes: mutated valid values, other JSON and no JSON."""
    others = raw_values.map(str.encode) | st.binary(max_size=60)
    return choose(mutate(valid), others, 6)


class Entries(unittest.TestCase):
    """Values under the keys of workers."""

    def check_line(self, entry, revision):
        """Have an owner follow the entry, and check its line of the log."""
        cell = core.CellCore(1, 0.0, 17.0, 120.0)
        cell.take_config(make_config(queue.Queue("q", service=entry.service)), 0.0)
        ports = types.SimpleNamespace(
            store=types.SimpleNamespace(was_unavailable_within=lambda seconds: False),
            worker_prefix=entries.ENTRY_PREFIX,
            decode_worker=lambda worker_id, value: entry,
            decode_errors=(entries.EntryError,),
        )
        session = types.SimpleNamespace(core=cell, ports=ports, pump=lambda: None)
        followed = following.Following(task.Clock(), session)
        key = entries.ENTRY_PREFIX + entry.worker_id
        with mock.patch.object(following.logs, "log") as log:
            followed._take_workers([transactions.Item(key, b"", revision)])
        ((event,), fields) = log.call_args
        self.assertEqual(event, "worker-listed")
        line = logs.format_event({"message_type": event} | fields)
        self.assertLess(len(line.encode()), MAX_LINE_BYTES)
        self.assertEqual(len(line.splitlines()), 1)

    @hypothesis.settings(max_examples=400, derandomize=True, deadline=None)
    @hypothesis.given(make_inputs(ENTRY), st.sampled_from(["ready", "draining"]))
    def test_each_is_refused_or_can_be_used(self, value, state):
        value = value.replace(b'"state": "ready"', b'"state":"%s"' % state.encode())
        try:
            entry = entries.decode_entry("i-1", value)
        except entries.EntryError as error:
            self.assertLessEqual(len(str(error)), entries.MAX_REASON_CHARS)
            return
        hypothesis.event("accepted")
        check_step(entry)
        self.check_line(entry, 2)

    # Guards against lines of listed workers that fill the buffer of the log.
    def test_largest_line_is_small(self):
        label = "\U00020000" * entries.MAX_TEXT_CHARS
        labels = [f"{number:02}{label[2:]}" for number in range(entries.MAX_LABELS)]
        value = msgspec.json.encode(ENTRY | {"labels": labels})
        self.check_line(entries.decode_entry("i-1", value), 2)


def make_config(*queues):
    """Make a configuration with some queues."""
    return queue.Config(1, queues)


def check_step(entry):
    """Take a worker's entry, run a task there, and encode what tells of it.

    Args:
      entry: A messages.WorkerEntry.
    """
    job_queue = queue.Queue("q", service=entry.service, max_attempts=3)
    cell = core.CellCore(1, 0.0, 17.0, 120.0)
    # The entry waits until a configuration names its service.
    cell.take_worker(entry, 1, 0.0)
    cell.take_config(make_config(job_queue), 0.0)
    ready = msgspec.structs.replace(entry, state=messages.WorkerState.READY)
    beside = msgspec.structs.replace(ready, worker_id="i-2", address="10.0.0.2:80")
    for revision, taken in enumerate((entry, ready, beside)):
        cell.take_worker(taken, revision + 1, 0.0)
    cell.note_earlier_owners_gone(0.0, 0.0)
    for worker_id in ("i-1", "i-2"):
        request = cell.make_poll(worker_id, 0.0)
        answer = messages.HoldAnswer(1, [], [], entry.started_at_ms)
        cell.take_poll(request, 0.0, answer, 0.0)
    job = spec.Job("t", (spec.Step(4, spec.Demand(1), 1000),))
    cell.take_job(record.JobRecord("a", job_queue, job, 1), 0.0)
    commands = run_pass(cell, 0.1)
    starts = [one for one in commands if isinstance(one, messages.StartOrder)]
    assert bool(starts) == (entry.total.millicores > 0), starts
    calls = [workercalls.NumberedCall(n, one) for n, one in enumerate(starts)]
    peering.CODEC.encode(workercalls.WorkerCalls(tuple(calls)))
    # The worker drains by its entry, and its room is summed with the other's.
    cell.take_worker(entry, 5, 0.2)
    cell.tick(0.3, 1_300)
    run_pass(cell, 0.3)
    sums = entry.total.add(entry.total)
    assert max(sums.millicores, sums.memory_mb, sums.accelerators) < MAX_INT64
    leaves_at = entry.read_leaves_at(clock.read_monotonic())
    assert leaves_at is None or leaves_at > 0


def run_pass(cell, now):
    """Have a cell place tasks and persist their records; return its commands."""
    cell.tick(now, int(now * 1000))
    cell.place(now)
    while (batch := cell.make_batch()) is not None:
        for value in batch.progress_by_job.values():
            record.decode_progress(value)
        cell.take_persisted(batch, now, now)
    return cell.take_commands()


class Configurations(unittest.TestCase):
    """Values of the key of the configuration."""

    @hypothesis.settings(max_examples=400, derandomize=True, deadline=None)
    @hypothesis.given(make_inputs(config_test.CONFIG))
    def test_each_is_refused_or_can_be_used(self, value):
        try:
            decoded = config.decode_config(value)
        except CONFIG_ERRORS:
            return
        hypothesis.event("accepted")
        cell = core.CellCore(1, 0.0, 17.0, 120.0)
        cell.take_config(decoded, 0.0)
        if decoded.workspaces is not None:
            for bad in decoded.workspaces.bad:
                line = logs.format_event({"place": bad.place, "reason": bad.reason})
                self.assertEqual(len(line.splitlines()), 1)
            decoded.workspaces.find_by_key(b"k")
        queue.find_queue(decoded, "h.example", "/press/x")
        job = spec.Job("t", (spec.Step(2, spec.Demand(1), 1000),))
        names = list(decoded.workspaces.by_name) if decoded.workspaces else [""]
        for number, one in enumerate(decoded.queues):
            workspace = names[0] if names else ""
            kept = record.JobRecord(f"a{number}", one, job, 1, workspace=workspace)
            self.assertEqual(record.decode_job(record.encode_record(kept)), kept)
            kept.compute_slack_ms()
            cell.take_job(kept, 0.0)
            entry = entries.decode_entry(f"i-{number}", msgspec.json.encode(ENTRY))
            listed = msgspec.structs.replace(
                entry,
                service=one.service,
                address=f"10.0.0.{number + 1}:80",
                started_at_ms=None,
            )
            cell.take_worker(listed, 1, 0.0)
            request = cell.make_poll(listed.worker_id, 0.0)
            cell.take_poll(request, 0.0, messages.HoldAnswer(1, [], []), 0.0)
        cell.note_earlier_owners_gone(0.0, 0.0)
        for command in run_pass(cell, 0.1):
            msgspec.msgpack.encode(command)
        run_pass(cell, 0.6)


if __name__ == "__main__":
    unittest.main()
