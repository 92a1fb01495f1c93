package org.coltsfootvale.testkit.caller;

import java.util.List;
import java.util.concurrent.ScheduledExecutorService;

/**
 * The state shared by all sessions.
 *
 * @param plan the plan
 * @param http the HTTP client
 * @param timers the executor of delayed tasks
 * @param entries the entry answers, one for each caller
 * @param statistics the counts and latencies
 * @param deadline the time after which no new requests are started
 */
record CallersContext(
    Plan plan,
    HttpJson http,
    ScheduledExecutorService timers,
    List<EntryAnswerCache> entries,
    CallerStatistics statistics,
    Deadline deadline) {

  /** The time after which no new requests are started. */
  interface Deadline {

    boolean passed();
  }
}
