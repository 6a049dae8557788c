#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start, under target/review-3.
set -eu
cd "$(dirname "$0")/.."
java_home=$(bash bin/find-jdk)
rm -rf target/review-3
mkdir -p target/review-3
"$java_home/bin/javac" --release 21 -d target/review-3 review/standins-3/review3/*.java
