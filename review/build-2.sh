#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases of this review.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review2 -o target/review-2 ./review/standin-2
