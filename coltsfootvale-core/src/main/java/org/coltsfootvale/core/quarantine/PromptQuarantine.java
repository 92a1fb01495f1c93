package org.coltsfootvale.core.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

/**
 * Decides which prompt parts are kept from replicas because requests with them crash each replica
 * that begins to answer. Every router decides by the evidence of the whole fleet: the crashes and
 * the latest answers that routers observe and exchange. Confined to one thread.
 */
public final class PromptQuarantine {

  private static final int CRASHES_MAX = 256;
  private static final int PARTS_PER_CRASH_MAX = 512;
  private static final int ANSWERED_PARTS_MAX = 8_192;

  /** How long a crash counts, and a part in quarantine is remembered after its last request. */
  private static final Duration EVIDENCE_LIFE = Duration.ofMinutes(30);

  private static final Duration EXPIRY_INTERVAL = Duration.ofSeconds(10);

  /**
   * The interval between two requests of this router that tell a part apart from others that
   * explain as many crashes.
   */
  private static final Duration DISTINGUISHING_INTERVAL = Duration.ofSeconds(1);

  /**
   * The interval between two requests of the fleet that tell a part apart from others, once it
   * explains more crashes than they do or as many as are tolerated.
   */
  private static final Duration MORE_SUSPECT_INTERVAL = Duration.ofSeconds(5);

  private final LongSupplier nanoTime;
  private final DoubleSupplier random;
  private final Predicate<String> makesTrials;
  private final QuarantineListener listener;
  private final Map<ReplicaCrash.Incarnation, ReplicaCrash> crashes = new LinkedHashMap<>();
  private final Map<String, Long> answers =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
          return size() > ANSWERED_PARTS_MAX;
        }
      };
  private final Map<String, Long> latestCrashes = new HashMap<>();
  private final Map<String, Long> requestedNanos = new HashMap<>();
  private final Map<String, Long> triedNanos = new HashMap<>();
  private final RecentKeys<ReplicaCrash.Incarnation> recentCrashes;
  private final RecentKeys<String> recentAnswers;
  private Map<String, QuarantinedPart> quarantinedParts = Map.of();
  private long expiredNanos;

  /**
   * Creates a quarantine without evidence.
   *
   * @param nanoTime the monotonic clock in nanoseconds
   * @param random supplies uniform numbers in [0, 1) that spread retry delays
   * @param makesTrials returns whether this router is the one that makes the trials of a part
   * @param listener is informed of changes
   */
  public PromptQuarantine(
      LongSupplier nanoTime,
      DoubleSupplier random,
      Predicate<String> makesTrials,
      QuarantineListener listener) {
    this.nanoTime = nanoTime;
    this.random = random;
    this.makesTrials = makesTrials;
    this.listener = listener;
    this.recentCrashes = new RecentKeys<>(nanoTime);
    this.recentAnswers = new RecentKeys<>(nanoTime);
    this.expiredNanos = nanoTime.getAsLong();
  }

  /**
   * Records a crash that this router or a peer has observed. Reports of the same crash are merged.
   */
  public void onCrash(ReplicaCrash crash) {
    ReplicaCrash known = crashes.get(crash.replica());
    ReplicaCrash merged = known == null ? bounded(crash) : merge(known, crash);
    if (merged.equals(known)) {
      return;
    }
    crashes.put(crash.replica(), merged);
    evictCrash();
    boolean newParts = known == null || !known.parts().equals(merged.parts());
    if (newParts) {
      publish(merged);
    }
    evaluate(QuarantineListener.ReleaseCause.EXPLAINED);
  }

  /** Evicts the oldest crash beyond the capacity; those that explain a quarantine are kept. */
  private void evictCrash() {
    if (crashes.size() > CRASHES_MAX) {
      Set<ReplicaCrash.Incarnation> explained = new HashSet<>();
      quarantinedParts
          .values()
          .forEach(
              quarantinedPart ->
                  quarantinedPart.crashes().forEach(crash -> explained.add(crash.replica())));
      ReplicaCrash.Incarnation oldest =
          crashes.keySet().stream()
              .filter(replica -> !explained.contains(replica))
              .findFirst()
              .orElseGet(() -> crashes.keySet().iterator().next());
      crashes.remove(oldest);
    }
  }

  private static ReplicaCrash merge(ReplicaCrash known, ReplicaCrash crash) {
    Set<String> parts = new HashSet<>(known.parts());
    parts.addAll(crash.parts());
    boolean earlier = crash.atNanos() - known.atNanos() < 0;
    return bounded(
        new ReplicaCrash(
            known.replica(), known.address(), parts, earlier ? crash.atNanos() : known.atNanos()));
  }

  private static ReplicaCrash bounded(ReplicaCrash crash) {
    if (crash.parts().size() <= PARTS_PER_CRASH_MAX) {
      return crash;
    }
    // Sorted, so that all routers keep the same parts.
    List<String> kept = crash.parts().stream().sorted().limit(PARTS_PER_CRASH_MAX).toList();
    return crash.with(Set.copyOf(kept));
  }

  /**
   * Publishes a crash with what this router knows of its parts: their latest answers, and the
   * earlier crashes of those in quarantine, which another router may have forgotten.
   */
  private void publish(ReplicaCrash crash) {
    recentCrashes.add(crash.replica());
    for (String part : crash.parts()) {
      if (answers.containsKey(part)) {
        recentAnswers.add(part);
      }
      QuarantinedPart quarantinedPart = quarantinedParts.get(part);
      if (quarantinedPart != null) {
        quarantinedPart.crashes().forEach(earlier -> recentCrashes.add(earlier.replica()));
      }
    }
  }

  /** Records that a replica of this router has been answering a request for a while. */
  public void onAnswer(Collection<String> parts) {
    long now = nanoTime.getAsLong();
    parts.forEach(part -> onAnswer(new PartAnswer(part, now)));
  }

  /** Records an answer; one that clears its part of a known crash is published. */
  public void onAnswer(PartAnswer answer) {
    onAnswer(answer, QuarantineListener.ReleaseCause.ANSWERED);
  }

  private void onAnswer(PartAnswer answer, QuarantineListener.ReleaseCause cause) {
    Optional<Long> known = latestAnswer(answer.part());
    if (known.filter(atNanos -> answer.atNanos() - atNanos <= 0).isPresent()) {
      return;
    }
    answers.put(answer.part(), answer.atNanos());
    boolean clears =
        Optional.ofNullable(latestCrashes.get(answer.part()))
            .filter(crashed -> known.filter(atNanos -> crashed - atNanos <= 0).isEmpty())
            .filter(crashed -> answer.atNanos() - crashed >= 0)
            .isPresent();
    if (clears) {
      recentAnswers.add(answer.part());
    }
    if (quarantinedParts.containsKey(answer.part())) {
      evaluate(cause);
    }
  }

  /**
   * Releases a part by hand at all routers: it counts as answered now.
   *
   * @return whether the part was in quarantine
   */
  public boolean release(String part) {
    boolean released = quarantinedParts.containsKey(part);
    if (released) {
      onAnswer(
          new PartAnswer(part, nanoTime.getAsLong()), QuarantineListener.ReleaseCause.OPERATOR);
    }
    return released;
  }

  private void evaluate(QuarantineListener.ReleaseCause releaseCause) {
    latestCrashes.clear();
    for (ReplicaCrash crash : crashes.values()) {
      for (String part : crash.parts()) {
        latestCrashes.merge(part, crash.atNanos(), (one, other) -> one - other > 0 ? one : other);
      }
    }
    Map<String, QuarantinedPart> before = quarantinedParts;
    quarantinedParts = CrashAttribution.quarantinedParts(crashes.values(), this::latestAnswer);
    quarantinedParts.forEach(
        (part, quarantinedPart) -> {
          if (!before.containsKey(part)) {
            requestedNanos.put(part, nanoTime.getAsLong());
            listener.onQuarantined(quarantinedPart, latestAnswer(part));
          }
          QuarantinedPart earlier = before.get(part);
          if (quarantinedPart.confirmed() && (earlier == null || !earlier.confirmed())) {
            listener.onConfirmed(quarantinedPart);
          }
        });
    for (String part : before.keySet()) {
      if (!quarantinedParts.containsKey(part)) {
        requestedNanos.remove(part);
        triedNanos.remove(part);
        listener.onReleased(part, releaseCause);
      }
    }
  }

  private Optional<Long> latestAnswer(String part) {
    return Optional.ofNullable(answers.get(part));
  }

  /**
   * Returns the delay after which the caller of a request should retry if its prompt has a part in
   * quarantine, or empty if the request may be sent to a replica.
   *
   * @param parts the shared parts of the prompt
   */
  public Optional<Duration> refusal(List<String> parts) {
    if (quarantinedParts.isEmpty()) {
      return Optional.empty();
    }
    Set<String> distinct = Set.copyOf(parts);
    boolean refused = false;
    Duration untilTrial = Duration.ZERO;
    for (String part : distinct) {
      QuarantinedPart quarantinedPart = quarantinedParts.get(part);
      if (quarantinedPart != null) {
        requestedNanos.put(part, nanoTime.getAsLong());
        if (!allowsTrial(quarantinedPart, distinct)) {
          refused = true;
          Duration left = untilTrial(quarantinedPart);
          untilTrial = left.compareTo(untilTrial) > 0 ? left : untilTrial;
        }
      }
    }
    return refused
        ? Optional.of(TrialSchedule.retryDelay(untilTrial, random.getAsDouble()))
        : Optional.empty();
  }

  /** Records that a request was sent to a replica; it is a trial if it has parts in quarantine. */
  public void onSent(List<String> parts) {
    if (quarantinedParts.isEmpty()) {
      return;
    }
    for (String part : Set.copyOf(parts)) {
      QuarantinedPart quarantinedPart = quarantinedParts.get(part);
      if (quarantinedPart != null) {
        triedNanos.put(part, nanoTime.getAsLong());
        listener.onTrial(quarantinedPart);
      }
    }
  }

  private boolean allowsTrial(QuarantinedPart quarantinedPart, Set<String> parts) {
    Set<String> others = new HashSet<>(quarantinedPart.indistinguishable());
    others.removeAll(parts);
    int crashesOfOthers = others.stream().mapToInt(this::crashCount).max().orElse(0);
    if (others.isEmpty()) {
      return due(quarantinedPart, TrialSchedule.delay(quarantinedPart))
          && TrialSchedule.trialsLeft(quarantinedPart)
          && makesTrials.test(quarantinedPart.part());
    }
    int ownCrashes = quarantinedPart.crashes().size();
    if (ownCrashes > crashesOfOthers || ownCrashes >= TrialSchedule.CRASHES_TOLERATED) {
      return due(quarantinedPart, MORE_SUSPECT_INTERVAL)
          && makesTrials.test(quarantinedPart.part());
    }
    Long tried = triedNanos.get(quarantinedPart.part());
    return tried == null || elapsedSince(tried, DISTINGUISHING_INTERVAL);
  }

  private int crashCount(String part) {
    QuarantinedPart quarantinedPart = quarantinedParts.get(part);
    return quarantinedPart == null ? 0 : quarantinedPart.crashes().size();
  }

  /** Returns whether neither a crash nor a trial has occurred within an interval. */
  private boolean due(QuarantinedPart quarantinedPart, Duration interval) {
    Long tried = triedNanos.get(quarantinedPart.part());
    return elapsedSince(quarantinedPart.latestNanos(), interval)
        && (tried == null || elapsedSince(tried, interval));
  }

  private boolean elapsedSince(long nanos, Duration interval) {
    return nanoTime.getAsLong() - nanos >= interval.toNanos();
  }

  private Duration untilTrial(QuarantinedPart quarantinedPart) {
    Duration elapsed = Duration.ofNanos(nanoTime.getAsLong() - quarantinedPart.latestNanos());
    return TrialSchedule.delay(quarantinedPart).minus(elapsed);
  }

  /** Forgets old evidence. */
  public void expire() {
    long now = nanoTime.getAsLong();
    if (now - expiredNanos < EXPIRY_INTERVAL.toNanos()) {
      return;
    }
    expiredNanos = now;
    long oldest = now - EVIDENCE_LIFE.toNanos();
    boolean expired =
        crashes
            .values()
            .removeIf(crash -> crash.atNanos() - oldest < 0 && !requestedSince(crash, oldest));
    if (expired) {
      evaluate(QuarantineListener.ReleaseCause.EXPIRED);
    }
  }

  private boolean requestedSince(ReplicaCrash crash, long oldest) {
    return crash.parts().stream()
        .map(requestedNanos::get)
        .anyMatch(requested -> requested != null && requested - oldest >= 0);
  }

  /** Publishes all evidence again, for a router that was out of contact. */
  public void republish() {
    crashes.keySet().forEach(recentCrashes::add);
    latestCrashes.keySet().stream()
        .filter(answers::containsKey)
        .toList()
        .forEach(recentAnswers::add);
  }

  /** Returns the parts in quarantine. */
  public List<QuarantinedPart> quarantinedParts() {
    return List.copyOf(quarantinedParts.values());
  }

  /** Returns whether no part is in quarantine. */
  public boolean isEmpty() {
    return quarantinedParts.isEmpty();
  }

  /** Returns whether a part is in quarantine. */
  public boolean quarantined(String part) {
    return quarantinedParts.containsKey(part);
  }

  /** Returns the crashes that have become known recently, to be sent to the other routers. */
  public List<ReplicaCrash> recentCrashes() {
    return recentCrashes.keys().stream().filter(crashes::containsKey).map(crashes::get).toList();
  }

  /** Returns the answers that have cleared parts recently, to be sent to the other routers. */
  public List<PartAnswer> recentAnswers() {
    return answersOf(recentAnswers.keys());
  }

  /** Returns all known crashes, for a router that has just started. */
  public List<ReplicaCrash> allCrashes() {
    return List.copyOf(crashes.values());
  }

  /** Returns the latest answers to requests with parts of known crashes. */
  public List<PartAnswer> allAnswers() {
    return answersOf(latestCrashes.keySet());
  }

  private List<PartAnswer> answersOf(Set<String> parts) {
    List<PartAnswer> found = new ArrayList<>();
    for (String part : parts) {
      latestAnswer(part).ifPresent(atNanos -> found.add(new PartAnswer(part, atNanos)));
    }
    return found;
  }
}
