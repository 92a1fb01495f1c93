package org.coltsfootvale.core.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.coltsfootvale.core.model.HostPort;

/**
 * Attributes crashes of replicas to prompt parts. A part is suspected by the crashes at which a
 * request with it had no answer, and cleared of all crashes before its latest answer. The part with
 * the strongest evidence is taken first; crashes that it explains do not count against others.
 */
final class CrashAttribution {

  /**
   * Crashes within this time count as one incident: hosts fail together, and routers detect the
   * same failure some ten milliseconds apart.
   */
  static final Duration INCIDENT_SPAN = Duration.ofMillis(80);

  /** The incidents that put a part into quarantine to which no answer is known. */
  static final int INCIDENTS_NEVER_ANSWERED = 2;

  /** The incidents since its latest answer that put a part into quarantine. */
  static final int INCIDENTS_SINCE_ANSWER = 3;

  /** The incidents that put a part into quarantine if the same replica crashed each time. */
  static final int INCIDENTS_AT_ONE_ADDRESS = 4;

  private static final Comparator<ReplicaCrash> BY_TIME =
      Comparator.comparingLong(ReplicaCrash::atNanos);

  private CrashAttribution() {}

  /**
   * Returns the parts to quarantine by their ids.
   *
   * @param crashes the known crashes
   * @param latestAnswer returns the time of the latest answer to a request with a part, if any
   */
  static Map<String, QuarantinedPart> quarantinedParts(
      Collection<ReplicaCrash> crashes, Function<String, Optional<Long>> latestAnswer) {
    List<Suspect> suspects = suspects(crashes, latestAnswer);
    Map<String, QuarantinedPart> quarantinedParts = new LinkedHashMap<>();
    Optional<Suspect> next = strongest(suspects);
    while (next.isPresent()) {
      Suspect strongest = next.get();
      List<Suspect> alike = suspects.stream().filter(strongest::indistinguishable).toList();
      Set<String> parts = alike.stream().map(Suspect::part).collect(Collectors.toSet());
      Set<ReplicaCrash> explained = new HashSet<>();
      for (Suspect suspect : alike) {
        explained.addAll(suspect.crashes());
        quarantinedParts.put(
            suspect.part(),
            new QuarantinedPart(
                suspect.part(), suspect.crashes(), incidents(suspect.crashes()), parts));
      }
      suspects =
          suspects.stream()
              .filter(suspect -> !parts.contains(suspect.part()))
              .map(suspect -> suspect.without(explained))
              .toList();
      next = strongest(suspects);
    }
    return quarantinedParts;
  }

  /** Returns the parts with their crashes since the latest answer, the earliest crash first. */
  private static List<Suspect> suspects(
      Collection<ReplicaCrash> crashes, Function<String, Optional<Long>> latestAnswer) {
    Map<String, List<ReplicaCrash>> crashesByPart = new HashMap<>();
    crashes.stream()
        .sorted(BY_TIME)
        .forEach(
            crash -> {
              for (String part : crash.parts()) {
                Optional<Long> answer = latestAnswer.apply(part);
                if (answer.isEmpty() || crash.atNanos() - answer.get() > 0) {
                  crashesByPart.computeIfAbsent(part, absent -> new ArrayList<>()).add(crash);
                }
              }
            });
    List<Suspect> suspects = new ArrayList<>();
    crashesByPart.forEach(
        (part, present) ->
            suspects.add(new Suspect(part, present, latestAnswer.apply(part).isPresent())));
    return suspects;
  }

  /**
   * Returns the part to quarantine with the strongest evidence: without an answer, then by crashes.
   */
  private static Optional<Suspect> strongest(List<Suspect> suspects) {
    return suspects.stream()
        .filter(Suspect::sufficient)
        .max(
            Comparator.comparing((Suspect suspect) -> !suspect.answered())
                .thenComparingInt(suspect -> suspect.crashes().size())
                .thenComparing(Suspect::part));
  }

  private static boolean suffices(List<ReplicaCrash> crashes, boolean answered) {
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

  /**
   * A part with the crashes that it may explain.
   *
   * @param part the id of the part
   * @param crashes the crashes since its latest answer, the earliest first
   * @param answered whether an answer to a request with the part is known
   */
  private record Suspect(String part, List<ReplicaCrash> crashes, boolean answered) {

    boolean sufficient() {
      return suffices(crashes, answered);
    }

    /**
     * Returns whether either part may be the cause: the crashes at which only one of them was
     * present are not sufficient for that one.
     */
    boolean indistinguishable(Suspect other) {
      return answered == other.answered
          && other.sufficient()
          && !without(other.crashes).sufficient()
          && !other.without(crashes).sufficient();
    }

    Suspect without(Collection<ReplicaCrash> explained) {
      return new Suspect(
          part, crashes.stream().filter(crash -> !explained.contains(crash)).toList(), answered);
    }
  }
}
