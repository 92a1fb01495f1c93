package org.coltsfootvale.core.model;

import org.coltsfootvale.core.support.Checks;

/**
 * The name of a pool: the engines managed by one order sender and one weight tuner.
 *
 * @param value the identifier, 1 to 128 characters out of letters, digits, '.', '_', ':' and '-'
 */
public record PoolId(String value) implements Comparable<PoolId> {

  /** Checks the identifier. */
  public PoolId {
    Checks.identifier(value, "PoolId");
  }

  @Override
  public int compareTo(PoolId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
