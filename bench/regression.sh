#!/usr/bin/env bash
# Plays the standard days of the regression sites on the users' bench and prints one table.
# Run by hand from the root of the repository; scores and journal entries are written by the bench.
set -euo pipefail

readonly SITES="further/gritline-tas further-grown/gritline-tas-grown grown/gaanghor-grown
grown/mrsa-taller-grown large/mrsa-taller-large"

if [ $# -lt 2 ]; then
  echo "usage: bench/regression.sh BENCH SITES_DIRECTORY [SECONDS_PER_SITE] [BENCH_OPTION...]" >&2
  exit 2
fi
readonly bench=$1
readonly directory=$2
readonly limit=${3:-1800}
shift $(($# < 3 ? $# : 3))
for file in "$bench" "$directory"; do
  if [ ! -e "$file" ]; then
    echo "regression.sh: $file does not exist" >&2
    exit 2
  fi
done

logs=$(mktemp -d)
failed=0
for site in $SITES; do
  log=$logs/${site//\//-}.txt
  status=0
  timeout "$limit" "$bench" score "$directory/$site.toml" --jobs 4 --why "Regression" "$@" > "$log" 2>&1 || status=$?
  gate=$(grep -o 'GATE [a-z]*' "$log" | tail -1 || true)
  if [ "$status" -eq 124 ]; then
    gate="not finished in $limit s"
  fi
  [ "$gate" = "GATE passed" ] || failed=1
  printf '\n%s: %s (%s)\n' "$site" "${gate:-no result}" "$log"
  grep -E '^(day|quiet|scale|trouble|fresh)-?[0-9a-z]* +[0-9o]' "$log" || true
done
exit "$failed"
