#!/bin/sh
# Exits with 1 if the rule was broken, with 0 if it held, with 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
program=target/review-2/release/review-2
[ -x "$program" ] && [ -x target/release/wingspar-sidecar ] || exit 2
exec "$program" other-caller "$here"
