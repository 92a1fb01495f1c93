#!/usr/bin/env bash
# Regenerates the committed generated sources (protobuf and Dagger).
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf coltsfootvale-protocol/src/generated/java coltsfootvale-router/src/generated/java
mkdir -p coltsfootvale-protocol/src/generated/java coltsfootvale-router/src/generated/java
mvn -B -ntp -q -Dgenerate compile -pl coltsfootvale-router -am
