#!/bin/sh
# Runs the case of the folder given: run-case.sh FOLDER. Writes FOLDER/record.txt.
# TROUBLE=0: without the disruption. LOGS=DIR: keeps the controllers' logs there.
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
here=$(cd "$1" && pwd) || exit 2
cd "$here/../.." || exit 2
driver=target/review/case$(basename "$here")
run=$(sed -n 's/^run *= *"\(.*\)"$/\1/p' deploy/service.toml)
if [ -z "$run" ] || [ ! -x "${run%% *}" ] || [ ! -x "$driver" ]; then
  echo "not built: ${run%% *} or $driver" >&2
  exit 2
fi
folder=$(mktemp -d) || exit 2
timeout -k 2 117 "$driver" "$run" "$here/record.txt" "$folder"
status=$?
if [ -n "$LOGS" ]; then mkdir -p "$LOGS" && cp "$folder"/*.log "$LOGS"/; fi
rm -rf "$folder"
tail -1 "$here/record.txt"
case $status in
  0 | 1) exit $status ;;
  *) exit 2 ;;
esac
