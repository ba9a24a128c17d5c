"""Persists the learned speeds of machines, so that a successor need not learn anew.

A successor that knows no speeds starts urgent tasks on slow machines for seconds. The
speeds are one value in the store, written now and then; they are only a hint, so that a
write may be lost and a read is not waited for.
"""

import math

import msgspec
from returns import result

from thornport.cell.owner import ownership
from thornport.kernel import codec, logs, tasks
from thornport.store import transactions

SPEEDS_KEY = "thornport/cell/speeds"
# Between writes: calls to the store have a price, and speeds change slowly.
SAVE_PERIOD_S = 5.0
# A machine is written once a few runs have shown its speed, and read if it is not known
# better by then.
MIN_RUNS = 3
MAX_FACTOR = 8.0  # a speed beyond it either way is no machine's


class SavedSpeed(msgspec.Struct, frozen=True, array_like=True):
    """What is persisted of a machine.

    Attributes:
      percent: An int, its speed against the usual one.
      runs: An int, the runs that it is learned from.
    """

    percent: codec.Whole
    runs: codec.Whole


_DECODER = msgspec.msgpack.Decoder(dict[str, msgspec.Raw])
_SPEED_DECODER = msgspec.msgpack.Decoder(SavedSpeed)


class SpeedKeeper:
    """Reads the speeds once and writes them now and then."""

    def __init__(self, store, token, speeds, now):
        """Initialize; nothing is read or written yet.

        Args:
          store: A store client.
          token: A callable that returns the revision of the owner key, an int.
          speeds: The speeds.Speeds of the owner.
          now: A float.
        """
        self._store = store
        self._token = token
        self._speeds = speeds
        self._save_at = now + SAVE_PERIOD_S
        self._saved = b""
        self._is_saving = False

    async def read(self):
        """Read the speeds that the last owner wrote, if the store has them."""
        read = await self._store.read_key(SPEEDS_KEY)
        if isinstance(read, result.Failure):
            logs.log("speeds-not-read", reason=read.failure().reason)
            return
        item = read.unwrap()
        if item.revision == transactions.ABSENT_REVISION:
            return
        try:
            saved = decode(item.value)
        except (msgspec.MsgspecError, RecursionError) as error:
            logs.log("value-undecodable", key=SPEEDS_KEY, reason=str(error))
            return
        taken = restore(self._speeds, saved)
        logs.log("speeds-read", machines=len(saved), taken=taken)

    def save_due(self, workers, now):
        """Write the speeds if they have changed and the last write is a while ago.

        Args:
          workers: The model.Workers that are known.
          now: A float.
        """
        if now < self._save_at or self._is_saving:
            return
        self._save_at = now + SAVE_PERIOD_S
        self._speeds.forget_gone({worker.machine for worker in workers})
        value = encode(self._speeds)
        if value == self._saved:
            return
        self._is_saving = True
        tasks.spawn(self._save(value), "save-speeds")

    async def _save(self, value):
        try:
            written = await self._store.commit(make_transaction(self._token(), value))
        finally:
            self._is_saving = False
        if isinstance(written, result.Success):
            self._saved = value
        else:
            logs.log("speeds-not-saved", reason=str(written.failure()))


def make_transaction(token, value):
    """Make the transaction that writes the speeds while the cell is owned.

    Args:
      token: An int, the revision of the owner key.
      value: Bytes.
    Returns:
      A transactions.Transaction.
    """
    return transactions.Transaction(
        [transactions.Condition(ownership.OWNER_KEY, token)],
        [transactions.Put(SPEEDS_KEY, value)],
    )


def encode(speeds):
    """Encode the speeds that are known, in an order of their own.

    Args:
      speeds: A speeds.Speeds.
    Returns:
      Bytes.
    """
    saved = {
        machine: SavedSpeed(round(100 * math.exp(known.log)), known.runs)
        for machine, known in sorted(speeds.by_machine.items())
        if known.runs >= MIN_RUNS
    }
    return msgspec.msgpack.encode(saved)


def decode(value):
    """Decode what `encode` made.

    Args:
      value: Bytes.
    Returns:
      A dict of SavedSpeed by the name of a machine; speeds that can't be decoded are
      logged and omitted.
    Raises:
      msgspec.MsgspecError, RecursionError: The value is not such a dict.
    """
    saved = {}
    for machine, raw in _DECODER.decode(value).items():
        try:
            saved[machine] = _SPEED_DECODER.decode(raw)
        except (msgspec.MsgspecError, RecursionError) as error:
            logs.log("speed-undecodable", machine=machine, reason=str(error))
    return saved


def restore(speeds, saved):
    """Restore the speeds of machines that are not known better.

    Args:
      speeds: A speeds.Speeds.
      saved: A dict of SavedSpeed by the name of a machine.
    Returns:
      An int, how many were taken.
    """
    taken = 0
    for machine, one in saved.items():
        factor = one.percent / 100
        if not 1 / MAX_FACTOR <= factor <= MAX_FACTOR:
            continue
        known = speeds.find(machine)
        if known.runs >= one.runs:
            continue
        known.log = known.told_log = math.log(factor)
        known.runs = one.runs
        taken += 1
    return taken
