#!/bin/sh
# The stand-ins of cases 4 to 8 are Python without dependencies: check that they compile.
here=$(dirname "$0")
exec python3 -m compileall -q "$here/deployment.py" "$here"/[4-8]
