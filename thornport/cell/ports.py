"""What a scheduler process needs of the platform that it runs on."""

from collections.abc import Callable
from typing import Any

import msgspec


class Ports(msgspec.Struct, frozen=True):
    """The platform's services, as clients with the project's own types.

    Attributes:
      store: Calls of `store.transactions`.
      workers: `hold`, `start`, `stop` and `forget`.
      advice: `advise`.
      config_key: A str, the key of the configuration.
      decode_config: A callable from bytes to a queue.Config.
      worker_prefix: A str, of the keys of workers.
      decode_worker: A callable from a worker id and bytes to a WorkerEntry.
      decode_errors: The exceptions that the two raise.
    """

    store: Any
    workers: Any
    advice: Any
    config_key: str
    decode_config: Callable
    worker_prefix: str
    decode_worker: Callable
    decode_errors: tuple
