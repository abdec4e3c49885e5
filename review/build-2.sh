#!/bin/sh
# Builds the stand-ins of cases 4 to 6: Python modules that need the standard library only.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q platform_2 $(ls -d 4 5 6 2>/dev/null)
