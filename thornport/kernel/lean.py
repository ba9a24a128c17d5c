"""Keeps unused packages out of a daemon; called before Twisted is imported.

Twisted imports OpenSSL if it is installed, which costs 12 MB of resident memory
(docs/CAPACITY.md). No daemon uses TLS yet.
"""

import sys

TLS_PACKAGES = ("OpenSSL", "service_identity")


def leave_out_tls():
    """Make the TLS packages look uninstalled in this process.

    Twisted then runs without them. Only later imports are affected.
    """
    for name in TLS_PACKAGES:
        sys.modules.setdefault(name, None)
