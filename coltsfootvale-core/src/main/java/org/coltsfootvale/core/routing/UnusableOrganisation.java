package org.coltsfootvale.core.routing;

import java.util.Set;

/**
 * An organisation of the desired state whose requests are denied, as backend servers could not be
 * told its name.
 *
 * @param name its name as written; empty if there is none
 * @param keys its API keys
 */
public record UnusableOrganisation(String name, Set<String> keys) {

  /** Copies the set. */
  public UnusableOrganisation {
    keys = Set.copyOf(keys);
  }
}
