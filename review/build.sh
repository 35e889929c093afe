#!/usr/bin/env bash
# Builds the stand-ins of the cases. The controllers come from the build of deploy/service.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
