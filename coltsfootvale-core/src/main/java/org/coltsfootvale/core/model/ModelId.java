package org.coltsfootvale.core.model;

import org.coltsfootvale.core.support.Checks;

/**
 * The name of a model.
 *
 * @param value the identifier, 1 to 128 characters out of letters, digits, '.', '_', ':' and '-'
 */
public record ModelId(String value) implements Comparable<ModelId> {

  /** Checks the identifier. */
  public ModelId {
    Checks.identifier(value, "ModelId");
  }

  @Override
  public int compareTo(ModelId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
