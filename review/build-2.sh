#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. Needs a JDK only, no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
exec javac -d target/review-2 review/standins-2/*.java
