#!/usr/bin/env bash
# Builds the stand-ins of the second review. Run it after the build command of deploy/service.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin2 ./review/standin2
