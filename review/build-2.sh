#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start; those that they share lie in 6/.
# Needs a JDK 17 only.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -d target/review-2 review/{6,7,8,9,10}/*.java
