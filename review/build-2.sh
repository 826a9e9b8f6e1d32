#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 and up. The project's programs are built by the build
# line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/bin/review-2 .
