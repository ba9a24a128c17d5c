"""Tracks the settings revision in force in this process, which never decreases.

Pure: a tree from any source (the store, a peer, a stale read) is offered here,
and an older or equal revision changes nothing.
"""

from thornport.settings import compile as compiling
from thornport.settings import tree


class InForce:
    """The newest tree that this process has received, and its objects.

    Attributes:
      config: A compiling.Config.
      encoded: Bytes, the tree as received, for peers that ask for it.
      problems: A list of Problem in the newest tree; a faulty leaf is left out
        and the others are in force.
    """

    __slots__ = ("config", "encoded", "problems")

    def __init__(self):
        self.config = compiling.EMPTY
        self.encoded = b""
        self.problems = []

    @property
    def revision(self):
        """The revision in force, an int; 0 before the first tree."""
        return self.config.revision

    def offer(self, data):
        """Put a tree into force if its revision is newer.

        Args:
          data: Bytes as returned by tree.encode_tree.
        Returns:
          A bool, whether the tree was put into force.
        Raises:
          tree.TreeError: The bytes do not decode to a tree.
        """
        offered = tree.decode_tree(data)
        if offered.revision <= self.revision:
            return False
        self.config, self.problems = compiling.compile_tree(
            offered.revision, offered.by_path
        )
        self.encoded = data
        return True
