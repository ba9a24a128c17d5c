"""`python -m thornport.placement SETTINGS` runs a placer."""

import sys

from thornport.kernel import lean


def main():
    """Run the daemon without importing the TLS packages, which it does not use."""
    lean.leave_out_tls()
    from thornport.kernel import daemons
    from thornport.placement import daemon

    daemons.run(daemon.PlacerDaemon, sys.argv[1])


if __name__ == "__main__":
    main()
