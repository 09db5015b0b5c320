#!/bin/sh
# Checks that every stand-in and case can be compiled; they need nothing but the standard library.
set -e
cd "$(dirname "$0")"
for file in lib/*.py [123]/*.py; do
    [ -f "$file" ] || continue
    python3 -c "import sys; compile(open(sys.argv[1]).read(), sys.argv[1], 'exec')" "$file"
done
