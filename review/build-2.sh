#!/bin/sh
# Prepares the stand-ins of the second review's cases. They are plain JavaScript
# without dependencies, so that they are only checked. The relays that the cases
# start are built by the command of deploy/system.toml.
cd "$(dirname "$0")/.." || exit 2
set -e
for file in review/standins-2/*.js; do
  node --check "$file"
done
for number in 6 7 8 9 10; do
  if [ -f "review/$number/case.js" ]; then
    node --check "review/$number/case.js"
  fi
done
