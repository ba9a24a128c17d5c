"""Log lines for what the decisions note; see `decisions.notes`."""

import functools

from thornport.cell.decisions import notes
from thornport.kernel import logs


@functools.singledispatch
def log_note(note):
    """Log a note.

    Args:
      note: A message of notes.
    """
    raise TypeError(f"no line for {note!r}")


@log_note.register
def log_run_lost(note: notes.RunLost):
    """Log that a run ended with its worker."""
    logs.log(
        "run-lost",
        job=note.key.job_id,
        task=note.key.name_in_job(),
        run=note.run,
        worker=note.worker_id,
        how=note.how.value,
        ran_ms="" if note.ran_ms is None else note.ran_ms,
        beside=note.beside,
        points=note.points,
        points_in_all=note.points_in_all,
    )
