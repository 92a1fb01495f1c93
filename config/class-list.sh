#!/bin/sh
# Writes the list of classes for the class data sharing archive: those loaded at startup and on the request path.
# Run from the repository root after changes to the serving code: config/class-list.sh SETTINGS.toml
set -eu
settings=$1
list=platform/src/main/cds/classes.lst
parts=$(mktemp -d)
mvn -B -ntp -q package -pl platform -am -Dtest='RequestPathTest,LifecycleTest,RelayedFleetTest,RestoredStoreTest,PromptPartCrashTest' \
  -Dsurefire.failIfNoSpecifiedTests=false \
  -Dsurefire.argLine="-XX:+UseSerialGC -XX:DumpLoadedClassList=$parts/path.lst" >/dev/null 2>&1
COLTSFOOTVALE_CONFIG=$settings COLTSFOOTVALE_FLEET_SECRET=only-for-the-class-list COLTSFOOTVALE_METRICS=19464/metrics \
  java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:-UsePerfData -Djava.locale.providers=COMPAT \
  -Dio.netty.jfr.enabled=false -XX:DumpLoadedClassList="$parts/start.lst" \
  -jar target/coltsfootvale-platform.jar >/dev/null 2>&1 &
router=$!
sleep 3
kill "$router"
wait "$router" || true
cat "$parts/start.lst" "$parts/path.lst" | grep -v '^#' | sed 's/ id: [0-9]*.*$//' | sort -u |
  grep -v -E 'testng|surefire|com/beust|Test|Scripted|MemoryStore|RawCaller|RouterFixture|maven|/asm/|jcommander' > "$list.new"
mv "$list.new" "$list"
rm -r "$parts"
wc -l "$list"
