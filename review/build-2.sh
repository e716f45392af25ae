#!/usr/bin/env bash
# Builds the stand-ins and clients of the scripts of the second review, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -tags review2 -o target/review-2/cases2 ./review/cases2
