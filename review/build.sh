#!/usr/bin/env bash
# Compiles the stand-ins and the drivers of the cases. Needs only the JDK.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf review/target
mkdir -p review/target
javac -nowarn --release 17 -d review/target review/standins/*.java $(find review/[1-5] -name '*.java')
