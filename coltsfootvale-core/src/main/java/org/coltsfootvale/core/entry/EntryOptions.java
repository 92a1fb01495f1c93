package org.coltsfootvale.core.entry;

import java.time.Duration;
import org.coltsfootvale.core.support.Checks;

/**
 * Options of entry answers.
 *
 * @param lifetime how long a caller may keep an answer
 * @param addressesMax the maximum number of addresses in an answer
 */
public record EntryOptions(Duration lifetime, int addressesMax) {

  /** The default values. */
  public static final EntryOptions DEFAULT = new EntryOptions(Duration.ofSeconds(30), 3);

  /** Checks the ranges. */
  public EntryOptions {
    Checks.argument(!lifetime.isNegative() && !lifetime.isZero(), "lifetime must be positive");
    Checks.argument(addressesMax >= 1, "addressesMax must be at least 1, but is %d", addressesMax);
  }
}
