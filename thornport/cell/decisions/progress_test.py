"""Records of progress by odd writers, as a new owner restores them."""

import random
import unittest

import msgspec
from hypothesis import given, settings

from tests import cellworld, oddvalues
from thornport.cell.decisions import model, notes
from thornport.jobs import record, spec

LIVE = record.LiveRun(2, 1, "w", "10.0.0.1:80", 5)
LOSS = record.UnprovenLoss(0, "w", "10.0.0.1:80")
STEP = record.StepProgress(
    *(0, 0, 2, False, (1,), ((0, 1),), (LIVE,), ((0, "cp"),), ((0, 2),), ((0, 1),)),
    (LOSS,),
)
PROGRESS = record.Progress(record.JobState.RUNNING, (STEP,))


def restore(*progress):
    """Have a new owner restore the progress of a job of one step of three tasks.

    Args:
      progress: Bytes each, the records of the jobs "a", "b" and so on.
    Returns:
      A pair of the cellworld.World and the notes that its new owner made by then.
    """
    world = cellworld.World(cellworld.Faults(random.Random(1)), 1)
    world.take_over()
    step = spec.Step(3, spec.Demand(100, 100, 0), 60_000)
    for job_id, value in zip("abc", progress, strict=False):
        world.submit(cellworld.make_job(job_id, step))
        world.progress_by_id[job_id] = value
    world.take_over()
    return world, list(world.owner.notes)


class OddProgress(unittest.TestCase):
    """A record that is decoded but can't be of its job hides no other."""

    @settings(max_examples=150, derandomize=True, deadline=None)
    @given(oddvalues.packed(msgspec.to_builtins(PROGRESS)))
    def test_any_record_can_be_restored_and_written_again(self, value):
        try:
            decoded = record.decode_progress(value)
        except record.RecordError:
            return
        world, _ = restore(record.encode_record(decoded))
        for job in world.owner.jobs_by_id.values():
            world.owner._mark_dirty(job)
        batch = world.owner.make_batch()
        world.owner.take_persisted(batch, world.now, world.now)

    def test_loss_of_a_gang_is_no_fault(self):
        loss = msgspec.structs.replace(LOSS, index=model.GANG_INDEX)
        step = msgspec.structs.replace(STEP, unproven_losses=(loss,))
        saved = record.Progress(record.JobState.RUNNING, (step,))
        _, noted = restore(record.encode_record(saved))
        self.assertFalse([n for n in noted if isinstance(n, notes.ProgressOmitted)])

    # Guards against one record that ends the takeover of every job.
    def test_record_that_names_no_step_or_task_is_omitted(self):
        valid = record.encode_record(PROGRESS)
        for changes in (
            {"step": 1},
            {"step": -1},
            {"time": -1},
            {"time": 1},
            {"done": (3,)},
            {"done": (-1,)},
            {"live": (msgspec.structs.replace(LIVE, index=3),)},
            {"unproven_losses": (msgspec.structs.replace(LOSS, index=3),)},
            {"last_run": 2**64 - 1},
            {"last_run": -1},
        ):
            with self.subTest(changes=changes):
                odd = msgspec.structs.replace(STEP, **changes)
                value = record.encode_record(
                    record.Progress(record.JobState.RUNNING, (odd,))
                )
                world, noted = restore(value, valid)
                states = {j: s.state for j, s in world.owner.jobs_by_id.items()}
                self.assertIs(states["a"], record.JobState.QUEUED)
                self.assertIs(states["b"], record.JobState.RUNNING)
                omitted = [n for n in noted if isinstance(n, notes.ProgressOmitted)]
                self.assertEqual([note.job_id for note in omitted], ["a"])


if __name__ == "__main__":
    unittest.main()
