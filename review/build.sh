#!/usr/bin/env bash
# The stand-ins of the cases are plain JavaScript that Node.js runs as it is; this checks that it can.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs */case.mjs; do node --check "$file"; done
