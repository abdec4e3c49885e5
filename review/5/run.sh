#!/bin/sh
# An unsafe request that has run must not be answered with a status that says that it has not.
cd "$(dirname "$0")/../.." || exit 2
exec python3 review/5/case.py
