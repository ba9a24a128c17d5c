"""Decoding of answers from workers."""

import random
import unittest

import hypothesis
import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from returns import result

from tests import cellworld, oddvalues
from thornport.cell.decisions import messages
from thornport.cell.peers import workercalls
from thornport.jobs import spec
from thornport.kernel import codec, httpcalls
from thornport.platform import names, platform_test, workermessages, workers

CALLS = codec.Codec(workercalls.WorkerCalls)
OUTCOMES = codec.Codec(workercalls.WorkerOutcomes)
JOB_ID = "5c0e7a21d94b36f8"
TASK = JOB_ID + ".0.0.0"
HOLD = {
    "clock_ms": 482113,
    "running": [[TASK, 1, "cp", 41, 12], [JOB_ID + ".0.0.1", 1, "", 0]],
    "ended": [[1, JOB_ID + ".0.0.2", 1, "done", ""], [2, TASK, 1, "failed", "cp"]],
    "born": 1_700_000_000_000,
}
REQUEST = messages.HoldRequest("i-1", "10.0.0.9:80", 7, 486_000, 57, 700)


def poll(body, status=200):
    """Poll a worker that answers with a body, and return the outcome."""
    answer = httpcalls.Answer(status, body)
    calls = platform_test.FakeCalls(result.Success(answer))
    return platform_test.run(workers.WorkerClient(calls, 0.2).hold(REQUEST))


def relay(outcome):
    """Encode an outcome as a dispatcher does, and decode it as the owner does."""
    numbered = workercalls.NumberedOutcome(1, outcome)
    message = OUTCOMES.decode(OUTCOMES.encode(workercalls.WorkerOutcomes((numbered,))))
    return message.outcomes[0].outcome


def is_json(body):
    """Whether a body can be decoded at all; if not, no row of it can."""
    try:
        msgspec.json.decode(body)
    except (msgspec.MsgspecError, RecursionError):
        return False
    return True


def list_calls(world, worker_id):
    """List the calls that an owner makes next, numbered."""
    made = [world.owner.make_poll(worker_id, world.now), *world.owner.commands]
    return tuple(
        workercalls.NumberedCall(number, call)
        for number, call in enumerate(made)
        if call is not None
    )


class OddAnswers(unittest.TestCase):
    """Any answer of a worker has an outcome that can be relayed and processed."""

    @settings(max_examples=400, derandomize=True, deadline=None)
    @given(oddvalues.bodies(HOLD), st.sampled_from([200, 200, 200, 409, 500]))
    def test_any_answer_to_a_poll_can_be_relayed(self, body, status):
        outcome = poll(body, status)
        self.assertEqual(relay(outcome), outcome)
        if isinstance(outcome, messages.HoldAnswer):
            for row in (*outcome.running, *outcome.ended):
                name = names.format_task(row.key)
                self.assertTrue(not row.key.job_id or names.parse_task(name) == row.key)

    @settings(max_examples=400, derandomize=True, deadline=None)
    @given(
        oddvalues.bodies({"clock_ms": 482113, "reason": "room"}),
        st.sampled_from([200, 409]),
    )
    def test_any_answer_to_a_command_can_be_relayed(self, body, status):
        answer = httpcalls.Answer(status, body)
        calls = platform_test.FakeCalls(result.Success(answer))
        client = workers.WorkerClient(calls, 0.2)
        stop = messages.StopOrder("i-1", "10.0.0.9:80", platform_test.TASK, 1, 7)
        outcome = platform_test.run(client.stop(stop))
        self.assertEqual(relay(outcome), outcome)

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(
        oddvalues.mutate(HOLD["running"][0]) | oddvalues.ODD,
        st.sampled_from(["running", "ended"]),
    )
    def test_odd_row_hides_no_other_row(self, row, field):
        body = oddvalues.encode(HOLD | {field: [row, *HOLD[field]]})
        hypothesis.assume(is_json(body))
        valid = poll(oddvalues.encode(HOLD))
        answer = poll(body)
        if field == "ended" and isinstance(answer, messages.Unanswered):
            self.assertIn("bad end of ", answer.reason)
            return
        self.assertEqual(answer.running[-2:], valid.running)
        self.assertEqual(answer.ended[-2:], valid.ended)

    # Guards against an error that ends the polls of a worker.
    def test_answers_that_are_nested_too_deeply_count_as_none(self):
        for body in ({"clock_ms": 1, "more": oddvalues.NESTED}, oddvalues.NESTED):
            for status in (200, 409):
                outcome = poll(oddvalues.encode(body), status)
                self.assertIsInstance(outcome, messages.Unanswered)

    # Guards against errors from names, and numbers that can't be relayed.
    def test_row_of_another_writer_is_skipped(self):
        for name in (
            "",
            "web",
            "a.b.c.d",
            TASK + "1_0",
            "a.-1.0.0",
            "a.0.0." + "9" * 30,
        ):
            with self.subTest(name=name):
                answer = self.poll_rows([[name, 10**400, None, 0], [TASK, 1, "cp", 41]])
                self.assertEqual([row.percent for row in answer.running], [41])
                self.assertFalse(answer.is_partial)

    # Guards against a run that counts as over because its row can't be read.
    def test_answer_without_a_row_that_may_be_ours_is_partial(self):
        for row in ([TASK, "1", "", 0], [TASK, 2**64, "", 0], [TASK], [7], [], None):
            with self.subTest(row=row):
                answer = self.poll_rows([row, [JOB_ID + ".0.0.1", 1, "cp", 41]])
                self.assertEqual([row.percent for row in answer.running], [41])
                self.assertTrue(answer.is_partial and answer.may_omit_ends())

    # Guards against an error from a row whose run can be told.
    def test_fields_of_a_run_that_cannot_be_used_are_left_out(self):
        odd = messages.RunningRow(names.parse_task(TASK), 1, "", 0)
        for row in (
            [TASK, 1],
            [TASK, 1, None, None],
            [TASK, 1, 7, 101, "7"],
            [TASK, 1, [], -1, 2**64],
        ):
            with self.subTest(row=row):
                answer = self.poll_rows([row])
                self.assertEqual(answer.running, [odd])
                self.assertFalse(answer.is_partial)

    # Guards against an end that is lost as it is acknowledged unread.
    def test_end_of_a_run_of_ours_that_cannot_be_read_refuses_the_answer(self):
        for row in (
            [1, TASK, 1, "over", ""],
            [10**400, TASK, 1, "done", ""],
            [1, TASK, "1", "done", ""],
            [2**64, TASK],
        ):
            with self.subTest(row=row):
                body = oddvalues.encode({"clock_ms": 1, "ended": [row]})
                self.assertIsInstance(poll(body), messages.Unanswered)

    # Guards against 500 ends that count as fewer, so that none may be omitted.
    def test_end_of_another_writer_is_counted_and_acknowledged(self):
        body = oddvalues.encode({"clock_ms": 1, "ended": [[3, "web", 1, "over", 0]]})
        (end,) = poll(body).ended
        self.assertEqual((end.number, end.key), (3, workermessages.FOREIGN_TASK))
        self.assertIs(end.kind, messages.EndKind.LAPSED)

    # Guards against deadlines, reckoned from the clock, that can't be encoded.
    def test_clock_out_of_range_refuses_the_answer(self):
        for clock_ms in (-1, 2**53, 2**63, 10**400):
            body = oddvalues.encode({"clock_ms": clock_ms})
            self.assertIsInstance(poll(body), messages.Unanswered)

    def poll_rows(self, rows):
        """Poll a worker that answers with rows of running tasks."""
        return poll(oddvalues.encode({"clock_ms": 1, "running": rows}))

    @settings(max_examples=60, derandomize=True, deadline=None)
    @given(st.lists(oddvalues.bodies(HOLD), min_size=1, max_size=3))
    def test_any_answer_to_a_poll_can_be_processed(self, bodies):
        world = cellworld.World(cellworld.Faults(random.Random(1)), 1)
        step = spec.Step(3, spec.Demand(100, 100, 0), 60_000)
        world.submit(cellworld.make_job(JOB_ID, step))
        world.run(0.5)
        (worker_id,) = world.owner.workers_by_id
        for body in bodies:
            answer = poll(body)
            if isinstance(answer, messages.HoldAnswer):
                started_at_ms = world.owner.workers_by_id[worker_id].started_at_ms
                # As if the incarnation that is known had answered.
                answer = messages.HoldAnswer(
                    answer.clock_ms, answer.running, answer.ended, started_at_ms
                )
            request = world.owner.make_poll(worker_id, world.now)
            world.owner.take_poll(request, world.now, answer, world.now)
            batch = world.owner.make_batch()
            world.owner.take_persisted(batch, world.now, world.now)
            CALLS.encode(workercalls.WorkerCalls(list_calls(world, worker_id)))


class Answers(unittest.TestCase):
    """Answers to polls and commands."""

    def test_answer_to_a_poll_states_the_incarnation(self):
        self.assertIsNone(workermessages.decode_hold(b'{"clock_ms":1}').started_at_ms)
        answer = workermessages.decode_hold(b'{"clock_ms":1,"born":7}')
        self.assertEqual(answer.started_at_ms, 7)
        with self.assertRaises(ValueError):
            workermessages.decode_hold(b'{"clock_ms":1,"born":"7"}')

    def test_rejections(self):
        for status, body, reason in (
            (409, {"reason": "fence"}, messages.Rejection.FENCED),
            (409, {"reason": "ticket"}, messages.Rejection.TICKET),
            (421, {}, messages.Rejection.REPLACED),
            (503, {}, messages.Rejection.UNHEALTHY),
            (429, {}, messages.Rejection.UNHEALTHY),
            (400, {}, messages.Rejection.INVALID),
        ):
            rejected = workermessages.decode_rejection(
                platform_test.answer(status, body)
            )
            self.assertEqual(rejected, messages.Rejected(reason))
        rejected = workermessages.decode_rejection(
            platform_test.answer(409, {"reason": "other"})
        )
        self.assertIsInstance(rejected, messages.Unanswered)


if __name__ == "__main__":
    unittest.main()
