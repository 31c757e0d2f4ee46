#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts: one program without dependencies.
set -euo pipefail
cd "$(dirname "$0")"
GOWORK=off go build -o ../target/reviewcase ./standin
