#!/usr/bin/env bash
# Plays one case: play.sh FOLDER CLASS [ARGUMENT ...]. The record goes to record.txt in the folder.
set -u
folder=$(cd "$1" && pwd) || exit 2
class=$2
shift 2
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
java=$(bash bin/find-jdk)/bin/java || exit 2
if [ ! -f "target/review-2/$class.class" ] || [ ! -f target/deploy/options ]; then
  echo "not built: see review/build-2.sh" >&2
  exit 2
fi
rm -f "$folder/record.txt"
"$java" -Xmx512m -Dsun.net.httpserver.nodelay=true -cp 'target/review-2:target/deploy/*' \
  "$class" "$folder/record.txt" "$@"
status=$?
# A Java program that fails to start ends with 1 too.
grep -q 'note text=result: ' "$folder/record.txt" || exit 2
exit "$status"
