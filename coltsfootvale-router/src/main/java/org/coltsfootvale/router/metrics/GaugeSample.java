package org.coltsfootvale.router.metrics;

import java.util.Map;

/**
 * The value of a gauge at one moment.
 *
 * @param name the metric name, in words separated by dots
 * @param labels the labels
 * @param value the value
 */
public record GaugeSample(String name, Map<String, String> labels, double value) {

  /** Creates a sample with a copy of the labels. */
  public GaugeSample {
    labels = Map.copyOf(labels);
  }

  /** Returns a sample without labels. */
  public static GaugeSample of(String name, double value) {
    return new GaugeSample(name, Map.of(), value);
  }
}
