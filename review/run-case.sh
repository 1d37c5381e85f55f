#!/bin/sh
# Runs the case whose number is given, and writes the record into the case's folder. The commands
# to start the controllers are those of deploy/service.toml.
case=$1
review=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(dirname "$review")
program=$root/target/release/salttiller
standin=$root/target/review/release/review-standin
[ -x "$program" ] && [ -x "$standin" ] || { echo "not run: build first" >&2; exit 2; }
temp=$(mktemp -d) || exit 2

# Ends the processes that the stand-in started, if it was ended before it could do so itself.
finish() {
  if [ -f "$temp/pids" ]; then
    while read -r pid; do
      # Its settings are in the temporary folder of this run.
      if grep -qaF "$temp/" "/proc/$pid/cmdline" 2>/dev/null; then
        kill -CONT "$pid"
        kill -KILL "$pid"
      fi
    done <"$temp/pids"
  fi
  rm -rf "$temp"
}
trap finish EXIT
trap 'exit 2' INT TERM HUP

timeout -s KILL 119 "$standin" "$case" "$review/$case" "$temp" "$program"
status=$?
case $status in
  0 | 1) exit "$status" ;;
  *) exit 2 ;;
esac
