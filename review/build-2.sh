#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start beside the program of the deploy file: nothing has to be compiled,
# since their stand-ins are JavaScript modules in review/lib-2 without dependencies. Checks that Node.js can read them.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/lib-2/*.mjs review/{6,7,8,9,10}/case.mjs; do node --check "$file"; done
test -f target/jasminedale.cjs || { echo 'run the build line of deploy/system.toml first' >&2; exit 1; }
