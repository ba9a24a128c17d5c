"""Reads the state of jobs from the store, for when the owner can't be reached."""

from returns import result

from thornport.jobs import record, workspace
from thornport.kernel import logs
from thornport.store import port, transactions, watching


async def read_state(store, job_id, caller=workspace.OPERATOR):
    """Read the state of a job.

    Args:
      store: A store client.
      job_id: A str.
      caller: The workspace.Caller that asks.
    Returns:
      A Result of record.JobState, or of None if there is no such job or the caller
      may not see it.
    """
    read = await store.read_key(record.PROGRESS_PREFIX + job_id)
    if isinstance(read, result.Failure):
        return read
    progress = read.unwrap()
    if progress.revision == transactions.ABSENT_REVISION:
        progress = None
    elif caller.sees_all:
        return decode_item(progress, read_progress)
    # Read after the progress: the end is written here as the progress is deleted.
    read = await store.read_key(record.JOB_PREFIX + job_id)
    if isinstance(read, result.Failure):
        return read
    if read.unwrap().revision == transactions.ABSENT_REVISION:
        return result.Success(None)
    decoded = decode_item(read.unwrap(), record.decode_job)
    if isinstance(decoded, result.Failure):
        return decoded
    job_record = decoded.unwrap()
    if job_record.is_early_cancel() or not caller.may_see(job_record):
        return result.Success(None)
    if progress is not None and job_record.end_state is None:
        return decode_item(progress, read_progress)
    return result.Success(job_record.end_state or record.JobState.QUEUED)


def read_progress(value):
    """Decode the record.JobState from the encoded progress of a job."""
    return record.decode_progress(value).state


def decode_item(item, decode):
    """Decode a record of a job.

    Args:
      item: A transactions.Item.
      decode: A callable that decodes the item's value.
    Returns:
      A Result of the decoded value; a failure if the value can't be decoded.
    """
    try:
        return result.Success(decode(item.value))
    except record.RecordError as error:
        logs.log("record-undecodable", key=item.key, reason=str(error))
        return result.Failure(port.Unavailable(f"bad record: {error}"))


def may_have_begun(item):
    """Tell whether a run of a job may have begun, by the record of its progress.

    Args:
      item: A transactions.Item.
    Returns:
      A bool; true for a record that can't be decoded, and for one with live runs, since
      it is mostly written before the answers to their starts.
    """
    try:
        saved = record.decode_progress(item.value)
    except record.RecordError as error:
        logs.log("progress-undecodable", key=item.key, reason=str(error))
        return True
    return saved.has_live_runs() or saved.is_known_to_have_run()


async def count_waiting(store, queue_name):
    """Count the jobs of a queue that have not begun, without repeating jobs.

    Args:
      store: A store client.
      queue_name: A str.
    Returns:
      A Result of int.
    """
    begun = await watching.read_prefix(store, record.PROGRESS_PREFIX)
    if isinstance(begun, result.Failure):
        return begun
    begun_ids = {
        item.key.removeprefix(record.PROGRESS_PREFIX)
        for item in begun.unwrap()[0]
        if may_have_begun(item)
    }
    read = await watching.read_prefix(store, record.JOB_PREFIX)
    if isinstance(read, result.Failure):
        return read
    count = 0
    for item in read.unwrap()[0]:
        try:
            job_record = record.decode_job(item.value)
        except record.RecordError as error:
            logs.log("job-undecodable", key=item.key, reason=str(error))
            continue
        is_waiting = (
            job_record.job_id not in begun_ids
            and not job_record.job.repeats
            and job_record.end_state is None
        )
        count += is_waiting and job_record.queue.name == queue_name
    return result.Success(count)
