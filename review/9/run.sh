#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/release/fulmard ] || [ ! -x target/review-2/harness ]; then
    echo "run the build of deploy/system.toml and review/build-2.sh first"
    exit 2
fi
exec target/review-2/harness forgotten-crashes review/9
