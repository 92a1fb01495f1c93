package org.coltsfootvale.core.store;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Decides which reports of the store's recovery a router applies and sends to others. Each report
 * is applied once and sent at most once, and reports of several observers are combined, so that the
 * number of messages is bounded however many routers observe a recovery and whatever their views of
 * the fleet are. Confined to one thread.
 */
public final class RecoveryReports {

  /**
   * A report is not sent if another one was sent within this time: it would prolong the grace
   * period of expired entries at the receivers by no more than that.
   */
  static final Duration SEND_INTERVAL = Duration.ofMillis(200);

  /** The number of observers that are remembered: several incarnations of each router. */
  static final int ORIGINS_MAX = 2_048;

  /** The origin in reports of routers that do not identify them; these are not sent on. */
  private static final long UNKNOWN_ORIGIN = 0;

  private final long origin;
  private final LongSupplier nanoTime;
  private final Map<Long, Long> latestNumberByOrigin = new LinkedHashMap<>(16, 0.75f, true);
  private Optional<Long> lastSentNanos = Optional.empty();
  private long latestNumber;

  /**
   * Creates an instance that knows no report.
   *
   * @param origin identifies the incarnation of this router, not 0
   * @param nanoTime the monotonic clock in nanoseconds
   */
  public RecoveryReports(long origin, LongSupplier nanoTime) {
    this.origin = origin;
    this.nanoTime = nanoTime;
  }

  /** Records that this router has observed a recovery; returns its identification. */
  StoreRecovery observe() {
    latestNumber++;
    return new StoreRecovery(origin, latestNumber);
  }

  /**
   * Records a report from another router; returns whether it is new to this one. One from an
   * unknown origin always is.
   */
  boolean receive(StoreRecovery recovery) {
    if (recovery.origin() == UNKNOWN_ORIGIN) {
      return true;
    }
    if (recovery.origin() == origin) {
      return false;
    }
    Long known = latestNumberByOrigin.get(recovery.origin());
    if (known != null && known >= recovery.number()) {
      return false;
    }
    latestNumberByOrigin.put(recovery.origin(), recovery.number());
    if (latestNumberByOrigin.size() > ORIGINS_MAX) {
      latestNumberByOrigin.remove(latestNumberByOrigin.keySet().iterator().next());
    }
    return true;
  }

  /** Publishes a report that is new to this router, unless another one has just been published. */
  void send(PrefixUpdate report, Consumer<PrefixUpdate> publisher) {
    boolean recognisable =
        report.recovery().filter(recovery -> recovery.origin() != UNKNOWN_ORIGIN).isPresent();
    if (recognisable && due()) {
      publisher.accept(report);
    }
  }

  private boolean due() {
    long now = nanoTime.getAsLong();
    if (lastSentNanos.isPresent() && now - lastSentNanos.get() < SEND_INTERVAL.toNanos()) {
      return false;
    }
    lastSentNanos = Optional.of(now);
    return true;
  }
}
