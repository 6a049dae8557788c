#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases; the build of the deploy file comes first.
set -eu
cd "$(dirname "$0")/.."
jdk=$(bash bin/find-jdk)
rm -rf target/review
mkdir -p target/review
"$jdk/bin/javac" -proc:none -cp "target/deploy/*" -d target/review review/standins/review/*.java
