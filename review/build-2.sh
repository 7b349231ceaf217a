#!/bin/sh
# Builds the driver of cases 6 to 10 with its stand-ins. It needs the build of the deploy file, and no network.
cd "$(dirname "$0")/.." && mkdir -p review/bin && go build -o review/bin/driver ./review/driver
