#!/bin/sh
# Called by the run.sh of a case: run-case.sh NUMBER RECORD.
cd "$(dirname "$0")/../.." || exit 2
driver=target/review/case$1
record=$2
run=$(sed -n 's/^run *= *"\(.*\)"$/\1/p' deploy/service.toml)
if [ -z "$run" ] || [ ! -x "${run%% *}" ] || [ ! -x "$driver" ]; then
  echo "not built: ${run%% *} or $driver" >&2
  exit 2
fi
folder=$(mktemp -d) || exit 2
timeout -k 2 117 "$driver" "$run" "$record" "$folder"
status=$?
if [ -n "$LOGS" ]; then mkdir -p "$LOGS" && cp "$folder"/*.log "$LOGS"/; fi
rm -rf "$folder"
tail -1 "$record"
case $status in
  0 | 1) exit $status ;;
  *) exit 2 ;;
esac
