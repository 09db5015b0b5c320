#!/bin/sh
# Builds the stand-ins of the cases 4 to 8. They are Python and need only the standard library: nothing is compiled
# beyond a check that the interpreter of the deploy file reads them.
set -e
cd "$(dirname "$0")/.."
python3 -S - review/lib-2/*.py review/[4-8]/*.py <<'PYTHON'
import ast
import sys
from pathlib import Path

for name in sys.argv[1:]:
    if Path(name).exists():
        ast.parse(Path(name).read_text(), name)
PYTHON
