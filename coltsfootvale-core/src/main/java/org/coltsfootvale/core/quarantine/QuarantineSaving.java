package org.coltsfootvale.core.quarantine;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

/**
 * Decides when this router writes the quarantine to the store, so that it outlives all routers. One
 * elected router writes; the others assume that it has done so unless they are elected soon after
 * the change. Confined to one thread.
 */
public final class QuarantineSaving {

  /** The name under which the router that writes is elected. */
  private static final String DUTY = "save";

  /** The time after a change within which a router that takes over writes it again. */
  private static final Duration TAKEOVER_PERIOD = Duration.ofSeconds(5);

  private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

  private final PromptQuarantine quarantine;
  private final Predicate<String> elected;
  private final LongSupplier nanoTime;
  private Map<String, Integer> saved = Map.of();
  private Map<String, Integer> latest = Map.of();
  private long changedNanos;
  private long retryNanos;
  private boolean writing;

  /**
   * Creates an instance that assumes an empty quarantine in the store.
   *
   * @param quarantine what is written
   * @param elected returns whether this router has a duty
   * @param nanoTime the monotonic clock in nanoseconds
   */
  public QuarantineSaving(
      PromptQuarantine quarantine, Predicate<String> elected, LongSupplier nanoTime) {
    this.quarantine = quarantine;
    this.elected = elected;
    this.nanoTime = nanoTime;
    this.retryNanos = nanoTime.getAsLong();
  }

  /** Records that the quarantine in the store has been read and merged. */
  public void onLoaded() {
    saved = crashCounts();
    latest = saved;
  }

  /** Returns whether to write now; the result has to be reported. */
  public boolean begin() {
    long now = nanoTime.getAsLong();
    Map<String, Integer> current = crashCounts();
    if (!current.equals(latest)) {
      latest = current;
      changedNanos = now;
    }
    if (writing || latest.equals(saved) || now - retryNanos < 0) {
      return false;
    }
    if (!elected.test(DUTY)) {
      if (now - changedNanos >= TAKEOVER_PERIOD.toNanos()) {
        saved = latest;
      }
      return false;
    }
    writing = true;
    return true;
  }

  /** Records that the quarantine has been written as it was at {@link #begin}. */
  public void onWritten(List<QuarantinedPart> written) {
    writing = false;
    saved = crashCounts(written);
  }

  /** Records that a write failed; it is repeated after a while. */
  public void onFailed() {
    writing = false;
    retryNanos = nanoTime.getAsLong() + RETRY_DELAY.toNanos();
  }

  /** Records that the store may have lost the latest write. */
  public void onStoreRestored() {
    saved = Map.of();
    changedNanos = nanoTime.getAsLong();
  }

  private Map<String, Integer> crashCounts() {
    return crashCounts(quarantine.quarantinedParts());
  }

  private static Map<String, Integer> crashCounts(Iterable<QuarantinedPart> quarantinedParts) {
    Map<String, Integer> counts = new HashMap<>();
    quarantinedParts.forEach(
        quarantinedPart -> counts.put(quarantinedPart.part(), quarantinedPart.crashes().size()));
    return counts;
  }
}
