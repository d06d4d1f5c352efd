#!/usr/bin/env bash
# Compile the stand-ins that the scripts of the cases 4 to 8 start; they use only the standard
# library, and the daemons are built by deploy/build.
set -euo pipefail
cd "$(dirname "$0")"
python3 -S -m compileall -q loopback.py
for case in 4 5 6 7 8; do
    if [ -e "$case/case.py" ]; then
        python3 -S -m compileall -q "$case/case.py"
    fi
done
