#!/bin/sh
# Builds every stand-in that the scripts of cases 9 to 12 start: plain Python of review/common3, which needs no library.
cd "$(dirname "$0")/.." || exit 2
PYTHONPYCACHEPREFIX=target/review-3 python3 -m compileall -q review/common3 review/9 review/1[0-2]
