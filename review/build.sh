#!/bin/sh
# The stand-ins are Python without packages; this checks that they load with the Python at hand.
cd "$(dirname "$0")" || exit 1
exec python3 -B -c '
import pathlib, sys, tomllib
for path in sorted(pathlib.Path(".").glob("*/*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
print("stand-ins: ok, Python", sys.version.split()[0])'
