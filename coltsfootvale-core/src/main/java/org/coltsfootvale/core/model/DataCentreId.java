package org.coltsfootvale.core.model;

import org.coltsfootvale.core.support.Checks;

/**
 * The name of a data centre.
 *
 * @param value the identifier, 1 to 128 characters out of letters, digits, '.', '_', ':' and '-'
 */
public record DataCentreId(String value) implements Comparable<DataCentreId> {

  /** Checks the identifier. */
  public DataCentreId {
    Checks.identifier(value, "DataCentreId");
  }

  @Override
  public int compareTo(DataCentreId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
