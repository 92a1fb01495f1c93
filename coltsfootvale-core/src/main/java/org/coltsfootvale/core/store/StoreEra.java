package org.coltsfootvale.core.store;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongConsumer;
import org.coltsfootvale.core.decision.Decision;
import org.coltsfootvale.core.decision.DecisionEvent;
import org.coltsfootvale.core.decision.DecisionLog;

/**
 * The latest era of the store that this router has observed in an answer or received from a peer. A
 * higher era means that the store was restored from a copy. Confined to one thread.
 */
public final class StoreEra {

  private final List<LongConsumer> listeners = new ArrayList<>();
  private DecisionLog log = DecisionLog.NONE;
  private long latest;

  /** Sets the log that records each new era. */
  public void logTo(DecisionLog decisions) {
    log = decisions;
  }

  /**
   * Adds a listener that is called with the number of each new era, except the first one observed.
   */
  public void onNewEra(LongConsumer listener) {
    listeners.add(listener);
  }

  /** Returns the latest era, or 0 before the first is known. */
  public long latest() {
    return latest;
  }

  /**
   * Records the era of an answer.
   *
   * @return false if the answer comes from an earlier era and is outdated
   */
  public boolean observe(long era) {
    if (era <= latest) {
      return era == latest;
    }
    long previous = latest;
    latest = era;
    if (previous > 0) {
      log.record(
          Decision.of(DecisionEvent.STORE_RESTORED).with("era", era).with("era_before", previous));
      listeners.forEach(listener -> listener.accept(era));
    }
    return true;
  }
}
