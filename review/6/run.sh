#!/usr/bin/env bash
# Exit 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.."
[ -f target/rushpin.jar ] && [ -f target/review-2/CaseHole.class ] || exit 2
RECORD="$PWD/review/6/record.txt" exec java -XX:+UseSerialGC -Xmx256m -cp target/review-2 CaseHole
