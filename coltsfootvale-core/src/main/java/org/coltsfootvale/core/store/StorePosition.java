package org.coltsfootvale.core.store;

import java.util.Comparator;

/**
 * A position in the history of the store, ordered by era and then by revision: a store that is
 * restored from a copy begins a new era, in which it assigns earlier revisions again.
 *
 * @param era the number of the era, which increases with each restore; 0 before the first is known
 * @param revision the store's revision within the era
 */
public record StorePosition(long era, long revision) implements Comparable<StorePosition> {

  /** The position before the first read. */
  public static final StorePosition NONE = new StorePosition(0, 0);

  private static final Comparator<StorePosition> ORDER =
      Comparator.comparingLong(StorePosition::era).thenComparingLong(StorePosition::revision);

  @Override
  public int compareTo(StorePosition other) {
    return ORDER.compare(this, other);
  }

  /** Returns whether this position is before another one. */
  public boolean isBefore(StorePosition other) {
    return compareTo(other) < 0;
  }
}
