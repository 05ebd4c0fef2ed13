#!/bin/sh
# The stand-ins of review/lab3 need only Python's own library: this checks that they compile.
set -e
cd "$(dirname "$0")/.."
for file in review/lab3/*.py review/1[1-5]/case.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
