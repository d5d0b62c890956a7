#!/bin/sh
# The stand-ins of the cases are plain Python without packages; this checks that they compile.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q stand [1-5]
