#!/usr/bin/env bash
# Compiles the stand-ins and the drivers of the cases into target/review. Needs only the JDK.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -nowarn --release 17 -d target/review review/*.java review/[1-5]/*.java
