#!/bin/sh
# Builds every stand-in that a case starts, into review/bin.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
CGO_ENABLED=0 go build -o review/bin/standin ./review/standin
