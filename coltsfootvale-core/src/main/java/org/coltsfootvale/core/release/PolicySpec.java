package org.coltsfootvale.core.release;

/**
 * The rules by which chats share the engines.
 *
 * @param loadBound the greatest load of an engine as a multiple of the mean, more than 1
 * @param candidates how many engines of the ranking are considered before the rest, at least 1
 */
public record PolicySpec(double loadBound, int candidates) {

  /** The rules that hold until a release note changes them. */
  public static final PolicySpec DEFAULT = new PolicySpec(1.25, 3);
}
