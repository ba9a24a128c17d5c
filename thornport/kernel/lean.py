"""Leaving out of a daemon what it does not use, before Twisted is imported.

Twisted imports OpenSSL wherever it is installed, which costs 12 MB resident
(docs/CAPACITY.md). No daemon speaks TLS yet.
"""

import sys

TLS_PACKAGES = ("OpenSSL", "service_identity")


def leave_out_tls():
    """Make the TLS packages look absent in this process.

    Twisted then goes without them. Only imports made after this are affected.
    """
    for name in TLS_PACKAGES:
        sys.modules.setdefault(name, None)
