#!/bin/sh
# The stand-ins are Python without dependencies of their own: check that they compile.
exec python3 -m compileall -q "$(dirname "$0")"
