#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/bin/review-2 ] || { echo "run review/build-2.sh first"; exit 2; }
exec ../../target/bin/review-2 return-at-restart ../../target/bin record.txt
