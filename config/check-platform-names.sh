#!/usr/bin/env bash
# Fails if a name of the users' platform occurs outside platform/, or a timer or random choice inside it.
set -euo pipefail
cd "$(dirname "$0")/.."

# Headers, paths, keys and field names that only the adapter may use.
names='Attempt-Id|Deadline-Ms|Prompt-Prefix|Token-Counts|Server-Seal|Expect-Instance|Replica-Load|Not-Executed|Request-Urgency|Kv-Fetch|Kv-From|Kv-Backup|Pin-Ms|/kv-[a-z]+|op/config|trafficSplit|goalMs|maxAttempts|coldLeftMs|expectedRev|allowStale|COLTSFOOTVALE_CONFIG'
if git grep -nE "\"[^\"]*($names)" -- 'coltsfootvale-*/src/main/java/*.java'; then
  echo "A name of the platform stands outside platform/; decode it there." >&2
  exit 1
fi
if git grep -nE 'schedule\(|\.every\(|nextDouble|nextInt|nanoTime|currentTimeMillis' -- 'platform/src/main/java/*.java'; then
  echo "platform/ holds names, formats and calls; move timers and choices to the product." >&2
  exit 1
fi
echo "platform/ holds all names of the platform and decides nothing"
