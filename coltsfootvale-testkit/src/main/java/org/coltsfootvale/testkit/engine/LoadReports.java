package org.coltsfootvale.testkit.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/** Load reports that become visible after a lag. Thread-safe. */
final class LoadReports {

  private final InstantSource clock;
  private final long lagMillis;
  private final NavigableMap<Instant, ObjectNode> reports = new TreeMap<>();

  LoadReports(InstantSource clock, long lagMillis, ObjectNode first) {
    this.clock = clock;
    this.lagMillis = lagMillis;
    reports.put(Instant.EPOCH, first);
  }

  synchronized void add(ObjectNode report) {
    reports.put(clock.instant(), report);
    discardSuperseded();
  }

  /** Returns the latest report that is at least as old as the lag. */
  synchronized ObjectNode visible() {
    discardSuperseded();
    return reports.firstEntry().getValue();
  }

  private void discardSuperseded() {
    Map.Entry<Instant, ObjectNode> visible =
        reports.floorEntry(clock.instant().minusMillis(lagMillis));
    if (visible != null) {
      reports.headMap(visible.getKey(), false).clear();
    }
  }
}
