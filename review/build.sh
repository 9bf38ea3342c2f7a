#!/usr/bin/env bash
# Checks what the scripts of the review need besides the build of the deploy file. The stand-ins are
# Python programs that need the standard library only, so there is nothing to compile.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
test -x "$root/target/bin/harelinkd" || { echo "target/bin/harelinkd is missing: run the build of deploy/system.toml" >&2; exit 1; }
PYTHONDONTWRITEBYTECODE=1 python3 -c "import sys; sys.path.insert(0, '$root/review'); import standins"
