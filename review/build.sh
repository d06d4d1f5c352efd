#!/usr/bin/env bash
# Check that the stand-ins which the scripts start can be imported; they are plain Python and need
# nothing but the standard library and target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:.:review PYTHONDONTWRITEBYTECODE=1 python3 -c 'import harness'
