#!/bin/sh
# The stand-ins of the scripts use Python's standard library alone, so there is nothing to compile. The project's
# program comes from the build of the deploy file.
set -eu
cd "$(dirname "$0")"
for file in common/*.py ?/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
