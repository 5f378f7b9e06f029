#!/bin/bash
# Checks the stand-ins and scripts of the cases. They are plain JavaScript for Node.js 20 without dependencies, so there is nothing to compile.
set -eu
cd "$(dirname "$0")"
for file in lib/*.mjs */*.mjs; do
  [ -f "$file" ] && node --check "$file"
done
echo 'stand-ins of the review are ready'
