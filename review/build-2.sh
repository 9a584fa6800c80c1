#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/stand-2 ./review/_stand2
