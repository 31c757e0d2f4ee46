#!/bin/sh
# Builds the stand-ins of the cases of the second review into target/.
set -e
cd "$(dirname "$0")" && GOWORK=off go build -o ../target/reviewcase2 ./standin2
