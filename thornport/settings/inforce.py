"""Which revision is in force in this process. It only ever rises.

Pure: whatever the source of a tree, the store, a peer or a stale read, it is
offered here, and an older or equal revision changes nothing.
"""

from thornport.settings import compile as compiling
from thornport.settings import tree


class InForce:
    """The newest tree this process has seen, and its objects.

    Attributes:
      config: A compiling.Config.
      encoded: Bytes, the tree as it came, for peers that ask.
      problems: A list of Problem in the newest tree; a faulty leaf is left
        out and the others are in force.
    """

    __slots__ = ("config", "encoded", "problems")

    def __init__(self):
        self.config = compiling.EMPTY
        self.encoded = b""
        self.problems = []

    @property
    def revision(self):
        """The revision in force, an int; 0 before any."""
        return self.config.revision

    def offer(self, data):
        """Take a tree into force if it is newer.

        Args:
          data: Bytes as tree.encode_tree makes them.
        Returns:
          A bool, whether the revision rose.
        Raises:
          tree.TreeError: The bytes are not a tree.
        """
        offered = tree.decode_tree(data)
        if offered.revision <= self.revision:
            return False
        self.config, self.problems = compiling.compile_tree(
            offered.revision, offered.by_path
        )
        self.encoded = data
        return True
