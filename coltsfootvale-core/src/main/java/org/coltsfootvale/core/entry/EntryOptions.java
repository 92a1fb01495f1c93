package org.coltsfootvale.core.entry;

import java.time.Duration;
import org.coltsfootvale.core.support.Checks;

/**
 * The shape of entry answers.
 *
 * @param lifetime how long a caller may keep an answer
 * @param addressesMax the largest number of addresses in an answer
 */
public record EntryOptions(Duration lifetime, int addressesMax) {

  /** Three addresses for half a minute. */
  public static final EntryOptions DEFAULT = new EntryOptions(Duration.ofSeconds(30), 3);

  /** Checks the bounds. */
  public EntryOptions {
    Checks.argument(!lifetime.isNegative() && !lifetime.isZero(), "lifetime must be positive");
    Checks.argument(addressesMax >= 1, "addressesMax must be at least 1, but is %d", addressesMax);
  }
}
