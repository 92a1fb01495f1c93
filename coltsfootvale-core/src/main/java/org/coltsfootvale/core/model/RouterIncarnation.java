package org.coltsfootvale.core.model;

import org.coltsfootvale.core.support.Checks;

/**
 * One run of a router process. A restarted process has the same id and another incarnation number.
 *
 * @param id the configured name
 * @param number the start time of the process in milliseconds since the epoch, at least 1
 */
public record RouterIncarnation(RouterId id, long number) {

  /** Checks the incarnation number. */
  public RouterIncarnation {
    Checks.argument(number >= 1, "incarnation must be at least 1, but is %d", number);
  }

  @Override
  public String toString() {
    return id + "@" + number;
  }
}
