#!/usr/bin/env bash
# Plays one case: review/play.sh MAIN-CLASS FOLDER MODE, where MODE is trouble, or calm for
# a play without the disruption. Exits with 1 if the rule was broken, with 0 if
# it held, and with 2 if the case could not run.
set -u
folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/.." || exit 2
jdk=$(bash bin/find-jdk) || exit 2
timeout -k 2 115 "$jdk/bin/java" -Xmx512m -Dsun.net.httpserver.nodelay=true \
  -Dsun.net.httpserver.maxIdleConnections=2000 -cp "target/review:target/deploy/*" \
  "review.$1" "$folder" "$3"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
