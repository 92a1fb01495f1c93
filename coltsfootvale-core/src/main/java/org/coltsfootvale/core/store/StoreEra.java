package org.coltsfootvale.core.store;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongConsumer;
import org.coltsfootvale.core.decision.Decision;
import org.coltsfootvale.core.decision.DecisionEvent;
import org.coltsfootvale.core.decision.DecisionLog;

/**
 * The latest era of the store that this router has seen in any answer, or was told of by another
 * router. A rise means that the store was restored from a copy. Confined to one thread.
 */
public final class StoreEra {

  private final List<LongConsumer> listeners = new ArrayList<>();
  private DecisionLog log = DecisionLog.NONE;
  private long latest;

  /** Writes each rise to a log. */
  public void logTo(DecisionLog decisions) {
    log = decisions;
  }

  /** Calls a listener with the number of each era that begins, but not with the first one seen. */
  public void onNewEra(LongConsumer listener) {
    listeners.add(listener);
  }

  /** Returns the latest era, 0 before any is known. */
  public long latest() {
    return latest;
  }

  /**
   * Takes note of the era of an answer.
   *
   * @return false if the answer comes from an earlier era, so that what it tells is outdated
   */
  public boolean observe(long era) {
    if (era <= latest) {
      return era == latest;
    }
    long before = latest;
    latest = era;
    if (before > 0) {
      log.record(
          Decision.of(DecisionEvent.STORE_RESTORED).with("era", era).with("era_before", before));
      listeners.forEach(listener -> listener.accept(era));
    }
    return true;
  }
}
