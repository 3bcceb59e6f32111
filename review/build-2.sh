#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start besides target/anvilwheel. All stand-ins are Python and need no build;
# this only checks that the interpreter is there and can read them. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
command -v python3 >/dev/null
for file in lib-2/*.py {6,7,8,9,10}/case.py; do
  if [ -f "$file" ]; then
    python3 -B -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
  fi
done
[ -x ../target/anvilwheel ] || { echo "target/anvilwheel is missing: run the build of the deploy file first"; exit 1; }
echo "build-2: nothing to build"
