package org.coltsfootvale.core.replay;

import java.util.List;

/**
 * What the replay of a trace has shown.
 *
 * @param events the number of events replayed
 * @param outcomesChecked the number of stated outcomes among them
 * @param mismatches the outcomes that differ, in the order of the trace
 */
public record ReplayReport(int events, int outcomesChecked, List<Mismatch> mismatches) {

  /** Copies the list. */
  public ReplayReport {
    mismatches = List.copyOf(mismatches);
  }

  /** Returns whether every stated outcome was met. */
  public boolean passed() {
    return mismatches.isEmpty();
  }

  /**
   * An outcome that differs from the stated one.
   *
   * @param line the line of the trace, from 1
   * @param event the event as it stands there
   * @param expected the stated outcome
   * @param actual what happened
   */
  public record Mismatch(int line, String event, String expected, String actual) {}
}
