#!/bin/sh
# Builds the stand-ins of the cases, after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review && javac -nowarn -d target/review -cp target/flamingopitch.jar review/standins/*.java
