#!/bin/sh
# Plays the case of claim.txt. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
timeout -k 2 115 review/bin/driver memory review/10
status=$?
[ $status -le 2 ] || status=2
exit $status
