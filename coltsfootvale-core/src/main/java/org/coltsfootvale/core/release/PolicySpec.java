package org.coltsfootvale.core.release;

/**
 * The rules for placing chats on engines.
 *
 * @param loadBound the maximum load of an engine as a multiple of the mean, more than 1
 * @param candidates the number of highest-ranked engines that are considered before the others, at
 *     least 1
 */
public record PolicySpec(double loadBound, int candidates) {

  /** The rules in effect until a release note changes them. */
  public static final PolicySpec DEFAULT = new PolicySpec(1.25, 3);
}
