#!/bin/sh
# Builds the stand-ins of cases 9 to 13 into target/. Run after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
go build -tags review3 -o target/standin3 ./review/standin3
