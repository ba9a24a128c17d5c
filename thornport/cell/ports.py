"""The interface between a scheduler process and the platform that it runs on."""

from collections.abc import Callable
from typing import Any

import msgspec


class Ports(msgspec.Struct, frozen=True):
    """Clients of the platform's services and decoders of its documents.

    Attributes:
      store: The store client, with the calls of `store.transactions`.
      workers: The worker client, with `hold`, `start`, `stop` and `forget`.
      advice: The client of the advice service, with `advise`.
      config_key: A str, the key of the configuration in the store.
      decode_config: A callable from bytes to a queue.Config.
      worker_prefix: A str, the prefix of the keys of workers in the store.
      decode_worker: A callable from a worker ID and bytes to a WorkerEntry.
      decode_errors: The exceptions that the two decoders raise.
    """

    store: Any
    workers: Any
    advice: Any
    config_key: str
    decode_config: Callable
    worker_prefix: str
    decode_worker: Callable
    decode_errors: tuple
