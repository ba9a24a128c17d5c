"""`python -m thornport.entry SETTINGS` runs an entry."""

import sys

from thornport.commands import daemons
from thornport.entry import daemon

if __name__ == "__main__":
    daemons.run(daemon.Entry, sys.argv[1])
