#!/bin/sh
# Builds what the scripts start besides the deploy file's build. The stand-ins are
# Python files without dependencies: they are compiled, so that a fault shows here.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q .
