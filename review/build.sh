#!/bin/sh
# The stand-ins of the scripts are plain Python without libraries. Building
# them means to check that they compile; bytecode goes below target/.
set -e
cd "$(dirname "$0")/.."
python3 -X pycache_prefix=target/review-pycache -m compileall -q review
