#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. The entry program itself is built by the
# command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o review/bin/standin ./review/standin
