#!/bin/sh
# Builds the stand-ins of the cases 4 to 8. They are plain Python and use the
# standard library alone, so their bytecode is all that there is to build.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q review/stage review/[4-8]
