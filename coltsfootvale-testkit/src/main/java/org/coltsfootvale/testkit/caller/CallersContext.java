package org.coltsfootvale.testkit.caller;

import java.util.List;
import java.util.concurrent.ScheduledExecutorService;

/**
 * What all sessions share.
 *
 * @param plan the plan
 * @param http the HTTP client
 * @param timers runs what is due later
 * @param entries the entry answers, one for each caller
 * @param tally what is counted
 * @param deadline tells whether new requests may still begin
 */
record CallersContext(
    Plan plan,
    HttpJson http,
    ScheduledExecutorService timers,
    List<EntryAnswerCache> entries,
    Tally tally,
    Deadline deadline) {

  /** Tells whether new requests may still begin. */
  interface Deadline {

    boolean passed();
  }
}
