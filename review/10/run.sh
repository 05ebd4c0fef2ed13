#!/bin/sh
# Runs this case; see claim.txt. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
PYTHONPATH=. exec python3 "$here/case.py"
