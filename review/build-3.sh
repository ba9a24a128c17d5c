#!/bin/sh
# Checks the stand-ins of the cases 9 to 13. They are Python and need nothing but its
# standard library, so there is nothing to compile; the build of the deploy file comes first.
cd "$(dirname "$0")/.." || exit 1
for name in review/rig3/*.py review/9/*.py review/1[0-3]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$name" || exit 1
done
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
