#!/usr/bin/env bash
# Builds the stand-ins and cases of the second review under target/review-2, after the build of the
# deploy file, whose libraries they use.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root"
JAVA_HOME=$(bash bin/find-jdk)
rm -rf target/review-2
mkdir -p target/review-2
"$JAVA_HOME/bin/javac" -Xlint:all -proc:none -cp 'target/deploy/*' -d target/review-2 \
  review/standins-2/*.java
