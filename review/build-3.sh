#!/bin/sh
# Builds the stand-ins that the scripts of this review start, after the build of
# the deploy file. Those of the review itself need no build.
set -e
cd "$(dirname "$0")/.."
npx tsc -b packages/standins
