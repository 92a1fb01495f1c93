#!/usr/bin/env bash
# Prints the shares of decision logic, stand-ins and tests in the code, in non-blank lines.
set -euo pipefail
cd "$(dirname "$0")/.."

lines() {
  git ls-files -- "$@" | grep -v /src/generated/ | xargs -r cat | grep -c '[^[:space:]]' || true
}

main=$(lines '*/src/main/java/*.java')
tests=$(lines '*/src/test/java/*.java')
core=coltsfootvale-core/src/main/java/org/coltsfootvale/core
decisions=$(lines "$core/placement/*" "$core/admission/*" "$core/retry/*" "$core/once/*" \
  "$core/membership/*" "$core/gossip/*" "$core/release/*" "$core/orders/*" "$core/entry/*" "$core/routing/*" \
  "$core/replica/*" "$core/course/*" "$core/dispatch/*" "$core/store/*" "$core/registry/*")
scaffolding=$(lines 'coltsfootvale-testkit/src/main/java/*.java')

echo "code: $main lines, of them decisions: $decisions ($((100 * decisions / main))%), stand-ins: $scaffolding ($((100 * scaffolding / main))%)"
echo "tests: $tests lines ($((100 * tests / (main + tests)))% of code and tests)"
