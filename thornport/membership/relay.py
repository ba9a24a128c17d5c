"""Passing on what one process has read from the store to those that have not.

Beats tell which ring and which settings a process has; one that hears of
newer ones asks for them. So only a few processes watch the store, and a
process that cannot reach it, or starts in its outage, still gets the newest.
"""

import enum

from thornport.kernel import codec


class Topic(enum.Enum):
    """What is passed on."""

    RING = "ring"
    SETTINGS = "settings"


class Want(codec.Message):
    """Asks for the newest of a topic."""

    topic: Topic


class Have(codec.Message):
    """The newest of a topic, encoded as in the store."""

    topic: Topic
    data: bytes
