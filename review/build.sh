#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They are Python programs of the standard library, so this only checks them.
set -eu
cd "$(dirname "$0")"
command -v python3 >/dev/null || { echo "python3 is missing"; exit 2; }
python3 -B -c 'import ast, glob, sys, tomllib
for path in ["world.py", *sorted(glob.glob("[0-9]*/case.py"))]:
    ast.parse(open(path).read(), path)'
