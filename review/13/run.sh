#!/bin/sh
# A relay freezes while it moves streams off an engine that leaves.
cd "$(dirname "$0")" && exec env UV_USE_IO_URING=0 node case.js
