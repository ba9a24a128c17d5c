"""`python -m thornport.entry SETTINGS` runs an entry."""

import sys

from thornport.kernel import lean


def main():
    """Run the daemon without loading packages that it does not use."""
    lean.leave_out_tls()
    from thornport.entry import daemon
    from thornport.kernel import daemons

    daemons.run(daemon.Entry, sys.argv[1])


if __name__ == "__main__":
    main()
