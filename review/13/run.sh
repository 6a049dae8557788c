#!/usr/bin/env bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays it without the drill of the store.
set -u
cd "$(dirname "$0")/../.."
java_home=$(bash bin/find-jdk) || exit 2
timeout --signal=TERM --kill-after=5 110 \
  "$java_home/bin/java" -cp target/review-3 review3.StoreDrill review/13 "${TROUBLE:-1}"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
