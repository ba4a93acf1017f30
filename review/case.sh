#!/usr/bin/env bash
# Runs one case of the stand program: case.sh NAME FOLDER. TROUBLE=0 leaves out the disruption.
set -u
root=$(cd "$(dirname "$0")/.." && pwd)
# Memory keeps the syncs of the vaults short, as on a sound disk.
temporary=$(mktemp -d -p /dev/shm 2>/dev/null || mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
cd "$root" || exit 2
[ -x target/cowslipstage ] && [ -x target/stand ] || { echo "build first"; exit 2; }
target/stand "$1" --trouble="${TROUBLE:-1}" --record "$2/record.txt" --folder "${KEEP:-$temporary}"
