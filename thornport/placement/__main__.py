"""`python -m thornport.placement SETTINGS` runs a placer."""

import sys

from thornport.commands import daemons
from thornport.placement import daemon

if __name__ == "__main__":
    daemons.run(daemon.PlacerDaemon, sys.argv[1])
