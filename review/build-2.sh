#!/bin/sh
# Builds every stand-in that the scripts of cases 4 to 8 start: plain Python of review/common2, which needs no library.
cd "$(dirname "$0")/.." || exit 2
PYTHONPYCACHEPREFIX=target/review-2 python3 -m compileall -q review/common2 review/[4-8]
