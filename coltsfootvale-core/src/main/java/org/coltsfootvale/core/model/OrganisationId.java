package org.coltsfootvale.core.model;

import org.coltsfootvale.core.support.Checks;

/**
 * The name of an organisation.
 *
 * @param value the identifier, 1 to 128 characters out of letters, digits, '.', '_', ':' and '-'
 */
public record OrganisationId(String value) implements Comparable<OrganisationId> {

  /** Checks the identifier. */
  public OrganisationId {
    Checks.identifier(value, "OrganisationId");
  }

  @Override
  public int compareTo(OrganisationId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
