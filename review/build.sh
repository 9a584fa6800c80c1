#!/usr/bin/env bash
# Builds what the scripts of the cases start, besides the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/stand ./review/_stand
