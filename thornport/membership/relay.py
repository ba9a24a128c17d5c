"""Messages by which processes pass on the ring and the settings to each other.

Heartbeats state which ring and which settings a process has; a process that
learns of newer ones requests them. So only a few processes watch the store, and a
process that cannot reach it, or starts during an outage, still gets the newest.
"""

import enum

from thornport.kernel import codec


class Topic(enum.Enum):
    """A kind of data that is passed on."""

    RING = "ring"
    SETTINGS = "settings"


class Want(codec.Message):
    """Requests the newest data of a topic."""

    topic: Topic


class Have(codec.Message):
    """The newest data of a topic, encoded as in the store."""

    topic: Topic
    data: bytes
