#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start besides the hosts. These stand-ins are plain
# Python without packages, so that they are only checked here; no stand-in of the project is started.
set -eu
cd "$(dirname "$0")"
for file in bed2.py [0-9]*/case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
