package org.coltsfootvale.core.model;

import org.coltsfootvale.core.support.Checks;

/**
 * The name of a model engine, the unit of placement.
 *
 * @param value the identifier, 1 to 128 characters out of letters, digits, '.', '_', ':' and '-'
 */
public record EngineId(String value) implements Comparable<EngineId> {

  /** Checks the identifier. */
  public EngineId {
    Checks.identifier(value, "EngineId");
  }

  @Override
  public int compareTo(EngineId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
