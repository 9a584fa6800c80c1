#!/usr/bin/env bash
# Fails if the repository holds a program, a profile or a file of more than a megabyte.
set -euo pipefail
cd "$(dirname "$0")/.."
bad=0
while IFS= read -r -d '' file; do
  [ -f "$file" ] || continue
  size=$(stat -c %s "$file")
  head=$(head -c 4 "$file" | od -An -tx1 | tr -d ' \n')
  if [ "$size" -gt 1048576 ]; then
    echo "$file: $size bytes"
    bad=1
  elif [ "$head" = 7f454c46 ] || [ "${head:0:4}" = 1f8b ]; then
    echo "$file: a program or a profile"
    bad=1
  fi
done < <(git ls-files -z)
exit $bad
