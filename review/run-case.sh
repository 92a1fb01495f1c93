#!/usr/bin/env bash
# Runs the driver of a case: run-case.sh FOLDER CLASS. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
set -u
folder=$1
class=$2
cd "$(dirname "$0")/.."
export TROUBLE=${TROUBLE:-1}
if [ ! -f target/coltsfootvale-platform.jar ] || [ ! -f "target/review/$class.class" ]; then
  echo "run the build of deploy/system.toml and review/build.sh first" >&2
  exit 2
fi
timeout 115 java --add-opens java.base/sun.nio.ch=ALL-UNNAMED -cp target/review "$class" \
  "review/$folder/record.txt"
case $? in
  0) exit 0 ;;
  3) exit 1 ;;
  *) exit 2 ;;
esac
