#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start.
set -euo pipefail
repository=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$repository/target/bin"
cd "$repository/review/standin"
GOFLAGS=-buildvcs=false go build -o "$repository/target/bin/review-standin" .
