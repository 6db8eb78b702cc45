#!/usr/bin/env bash
# Case 15, see claim.txt. With TROUBLE=0 it plays the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-3/standin3
daemon=target/platform/cowsliprock-celld
if [ ! -x "$program" ] || [ ! -x "$daemon" ]; then
    echo "build the deploy file and review/build-3.sh first" >&2
    exit 2
fi
exec "$program" waiting-gang "$daemon" review/15
