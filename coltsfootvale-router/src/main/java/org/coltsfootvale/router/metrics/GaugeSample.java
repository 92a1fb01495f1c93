package org.coltsfootvale.router.metrics;

import java.util.Map;

/**
 * The value of a gauge at one moment.
 *
 * @param name its name, in words separated by dots
 * @param labels its labels
 * @param value the value
 */
public record GaugeSample(String name, Map<String, String> labels, double value) {

  /** Copies the labels. */
  public GaugeSample {
    labels = Map.copyOf(labels);
  }

  /** Returns a reading without labels. */
  public static GaugeSample of(String name, double value) {
    return new GaugeSample(name, Map.of(), value);
  }
}
