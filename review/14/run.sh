#!/bin/sh
# An engine leaves that works on after a channel has closed.
cd "$(dirname "$0")" && exec env UV_USE_IO_URING=0 node case.js
