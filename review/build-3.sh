#!/bin/sh
# Builds the stand-ins of the scripts in review/11 to review/15, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -d target/review-3 -cp target/flamingopitch.jar review/standins-3/src/*.java
