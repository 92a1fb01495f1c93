package org.coltsfootvale.core.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.coltsfootvale.core.model.HostPort;

/**
 * Attributes crashes of replicas to prompt parts. A part is suspected by the crashes at which a
 * request with it had no answer, and cleared of all crashes before its latest answer. The part with
 * the most crashes is convicted first; crashes that it explains do not count against the others.
 */
final class CrashAttribution {

  /**
   * Crashes within this time count as one incident: hosts fail together, and routers detect the
   * same failure some ten milliseconds apart.
   */
  static final Duration INCIDENT_SPAN = Duration.ofMillis(150);

  /** The incidents that convict a part to which no answer is known. */
  static final int INCIDENTS_NEVER_ANSWERED = 2;

  /** The incidents since its latest answer that convict a part. */
  static final int INCIDENTS_SINCE_ANSWER = 3;

  /** The incidents that convict a part if the same replica crashed each time. */
  static final int INCIDENTS_AT_ONE_ADDRESS = 4;

  private static final Comparator<ReplicaCrash> BY_TIME =
      Comparator.comparingLong(ReplicaCrash::atNanos);

  private CrashAttribution() {}

  /**
   * Returns the convicted parts by their ids.
   *
   * @param crashes the known crashes
   * @param latestAnswer returns the time of the latest answer to a request with a part, if any
   */
  static Map<String, Conviction> convictions(
      Collection<ReplicaCrash> crashes, Function<String, Optional<Long>> latestAnswer) {
    Map<String, List<ReplicaCrash>> suspects = suspects(crashes, latestAnswer);
    Map<String, Conviction> convictions = new LinkedHashMap<>();
    Optional<Conviction> next = strongest(suspects, latestAnswer);
    while (next.isPresent()) {
      Conviction conviction = next.get();
      for (String part : conviction.indistinguishable()) {
        convictions.put(
            part,
            new Conviction(
                part,
                conviction.crashes(),
                conviction.incidents(),
                conviction.indistinguishable()));
      }
      Set<ReplicaCrash> explained = new HashSet<>(conviction.crashes());
      suspects.keySet().removeAll(conviction.indistinguishable());
      suspects.replaceAll(
          (part, present) -> present.stream().filter(crash -> !explained.contains(crash)).toList());
      next = strongest(suspects, latestAnswer);
    }
    return convictions;
  }

  /** Returns the crashes since its latest answer for each part, the earliest first. */
  private static Map<String, List<ReplicaCrash>> suspects(
      Collection<ReplicaCrash> crashes, Function<String, Optional<Long>> latestAnswer) {
    Map<String, List<ReplicaCrash>> suspects = new HashMap<>();
    crashes.stream()
        .sorted(BY_TIME)
        .forEach(
            crash -> {
              for (String part : crash.parts()) {
                Optional<Long> answer = latestAnswer.apply(part);
                if (answer.isEmpty() || crash.atNanos() - answer.get() > 0) {
                  suspects.computeIfAbsent(part, absent -> new ArrayList<>()).add(crash);
                }
              }
            });
    return suspects;
  }

  private static Optional<Conviction> strongest(
      Map<String, List<ReplicaCrash>> suspects, Function<String, Optional<Long>> latestAnswer) {
    return suspects.entrySet().stream()
        .filter(entry -> convicts(entry.getValue(), latestAnswer.apply(entry.getKey()).isPresent()))
        .max(
            Comparator.comparingInt(
                    (Map.Entry<String, List<ReplicaCrash>> entry) -> entry.getValue().size())
                .thenComparing(entry -> latestAnswer.apply(entry.getKey()).isEmpty())
                .thenComparing(Map.Entry::getKey))
        .map(
            entry -> {
              boolean answered = latestAnswer.apply(entry.getKey()).isPresent();
              Set<String> same = new LinkedHashSet<>();
              suspects.forEach(
                  (part, present) -> {
                    if (present.equals(entry.getValue())
                        && latestAnswer.apply(part).isPresent() == answered) {
                      same.add(part);
                    }
                  });
              return new Conviction(
                  entry.getKey(), entry.getValue(), incidents(entry.getValue()), same);
            });
  }

  private static boolean convicts(List<ReplicaCrash> crashes, boolean answered) {
    int incidents = incidents(crashes);
    int needed = answered ? INCIDENTS_SINCE_ANSWER : INCIDENTS_NEVER_ANSWERED;
    if (incidents >= INCIDENTS_AT_ONE_ADDRESS) {
      return true;
    }
    Set<HostPort> addresses = new HashSet<>();
    crashes.forEach(crash -> addresses.add(crash.address()));
    return incidents >= needed && addresses.size() > 1;
  }

  /** Counts the separate moments of crashes in the order of their times. */
  static int incidents(List<ReplicaCrash> crashes) {
    int incidents = 0;
    long startNanos = 0;
    for (ReplicaCrash crash : crashes) {
      if (incidents == 0 || crash.atNanos() - startNanos > INCIDENT_SPAN.toNanos()) {
        incidents++;
        startNanos = crash.atNanos();
      }
    }
    return incidents;
  }
}
