#!/bin/sh
# Runs this case: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0
# leaves the disruption out. Needs the deploy file's build and review/build-2.sh.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
program=target/review-2/case-$(basename "$here")
[ -x "$program" ] || { echo "run review/build-2.sh first" >&2; exit 2; }
command=$(sed -n 's/^run *= *"\(.*\)"$/\1/p' deploy/service.toml)
set -- $command
[ -x "$1" ] || { echo "run the deploy file's build first" >&2; exit 2; }
exec timeout -k 2 118 "$program" "$@" "$here/record.txt"
