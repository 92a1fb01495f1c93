package org.coltsfootvale.core.model;

import org.coltsfootvale.core.support.Checks;

/**
 * The configured name of a router process, unchanged by restarts of its host.
 *
 * @param value the identifier, 1 to 128 characters out of letters, digits, '.', '_', ':' and '-'
 */
public record RouterId(String value) implements Comparable<RouterId> {

  /** Checks the identifier. */
  public RouterId {
    Checks.identifier(value, "RouterId");
  }

  @Override
  public int compareTo(RouterId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
