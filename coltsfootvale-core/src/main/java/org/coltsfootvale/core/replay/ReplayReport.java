package org.coltsfootvale.core.replay;

import java.util.List;

/**
 * The result of replaying a trace.
 *
 * @param events the number of events replayed
 * @param outcomesChecked the number of expected outcomes among them
 * @param mismatches the outcomes that differ, in the order of the trace
 */
public record ReplayReport(int events, int outcomesChecked, List<Mismatch> mismatches) {

  /** Copies the list. */
  public ReplayReport {
    mismatches = List.copyOf(mismatches);
  }

  /** Returns whether all outcomes were as expected. */
  public boolean passed() {
    return mismatches.isEmpty();
  }

  /**
   * An outcome that differs from the expected one.
   *
   * @param line the line of the trace, from 1
   * @param event the event as written in the trace
   * @param expected the expected outcome
   * @param actual the actual outcome
   */
  public record Mismatch(int line, String event, String expected, String actual) {}
}
