#!/usr/bin/env bash
# Builds what the scripts of the cases 11 to 15 start besides target/anvilwheel: stand-ins in Python, which are only
# checked here.
set -euo pipefail
cd "$(dirname "$0")"
for File in lib-3/*.py 1[1-5]/*.py; do
  [ -f "$File" ] || continue
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$File"
done
