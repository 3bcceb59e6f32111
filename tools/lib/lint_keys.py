"""Prints "file:key" for each given source whose present content has not passed the linter.

The key is a file name in the cache folder made from the content of the source, of all project headers it includes as
the build recorded them, and of the linter's configuration.
"""

import hashlib
import os
import subprocess
import sys


def recorded_includes(build_dir):
    """Returns for each source path the project files that its object depends on."""
    text = subprocess.run(["ninja", "-C", build_dir, "-t", "deps"], capture_output=True, text=True, check=True).stdout
    root = os.path.realpath(".") + os.sep
    includes = {}
    for block in text.split("\n\n"):
        paths = []
        for line in block.splitlines()[1:]:
            path = os.path.realpath(os.path.join(build_dir, line.strip()))
            if path.startswith(root):
                paths.append(path[len(root):])
        for path in paths:
            if path.endswith(".cpp"):
                includes.setdefault(path, paths)
    return includes


def content(path):
    try:
        with open(path, "rb") as file:
            return file.read()
    except OSError:
        return b""


def main():
    build_dir, cache_dir, *files = sys.argv[1:]
    includes = recorded_includes(build_dir)
    for name in files:
        if not name.endswith(".cpp"):
            continue
        digest = hashlib.sha256(content(".clang-tidy"))
        for path in sorted(set(includes.get(name, [name]))):
            digest.update(path.encode() + b"\0" + content(path))
        key = os.path.join(cache_dir, digest.hexdigest()[:40])
        if not os.path.exists(key):
            print(f"{name}:{key}")


if __name__ == "__main__":
    main()
