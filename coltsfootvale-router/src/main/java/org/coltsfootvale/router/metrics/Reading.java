package org.coltsfootvale.router.metrics;

import java.util.Map;

/**
 * The value of a gauge at one moment.
 *
 * @param name its name, in words separated by dots
 * @param labels its labels
 * @param value the value
 */
public record Reading(String name, Map<String, String> labels, double value) {

  /** Copies the labels. */
  public Reading {
    labels = Map.copyOf(labels);
  }

  /** Returns a reading without labels. */
  public static Reading of(String name, double value) {
    return new Reading(name, Map.of(), value);
  }
}
