#!/bin/sh
# Runs this case; see claim.txt. Writes record.txt in this folder: what was sent, answered and run.
# TROUBLE=0: without the disruption. LOGS=DIR: keeps the controllers' logs there.
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
record="$here/record.txt"
echo "the case could not run" > "$record" || exit 2
exec sh "$here/../standins/run-case.sh" "$(basename "$here")" "$record"
