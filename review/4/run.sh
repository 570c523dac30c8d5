#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/flamingopitch.jar ] && [ -f target/review/review/NarrowLinks.class ] || exit 2
exec java -cp target/review:target/flamingopitch.jar review.NarrowLinks review/4
