#!/bin/sh
# The stand-ins of the cases are plain JavaScript without dependencies, so there
# is nothing to compile; this checks that each file can be read.
set -e
cd "$(dirname "$0")"
for file in standins/*.js */run.js; do
  node --check "$file"
done
