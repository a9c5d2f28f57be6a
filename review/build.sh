#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start.
set -euo pipefail
mkdir -p "$(dirname "$0")/../target/review"
cd "$(dirname "$0")/standin"
go build -o ../../target/review/standin .
