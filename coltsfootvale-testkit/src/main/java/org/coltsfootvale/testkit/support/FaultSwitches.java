package org.coltsfootvale.testkit.support;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.EnumMap;
import java.util.Map;

/**
 * The faults of one stand-in. Standing faults hold until they are switched off; counted faults
 * strike the given number of requests, or all of them when the number is negative. Safe for use by
 * several threads.
 */
public final class FaultSwitches {

  private static final String OUTAGE = "outage";
  private static final String LEAVING = "leaving";
  private static final String DELAY = "delayMillis";
  private static final String LATE_DELAY = "lateMillis";
  private static final long LATE_MILLIS_DEFAULT = 2_000;

  private final Object lock = new Object();
  private final Map<Fault, Integer> remaining = new EnumMap<>(Fault.class);
  private boolean outage;
  private boolean leaving;
  private long delayMillis;
  private long lateMillis = LATE_MILLIS_DEFAULT;

  /** Sets every switch that the object names and leaves the others. */
  public void update(JsonNode body) {
    synchronized (lock) {
      outage = body.path(OUTAGE).asBoolean(outage);
      leaving = body.path(LEAVING).asBoolean(leaving);
      delayMillis = body.path(DELAY).asLong(delayMillis);
      lateMillis = body.path(LATE_DELAY).asLong(lateMillis);
      for (Fault fault : Fault.values()) {
        int before = remaining.getOrDefault(fault, 0);
        remaining.put(fault, body.path(fault.field()).asInt(before));
      }
    }
  }

  /** Switches every fault off. */
  public void clear() {
    synchronized (lock) {
      outage = false;
      leaving = false;
      delayMillis = 0;
      lateMillis = LATE_MILLIS_DEFAULT;
      remaining.clear();
    }
  }

  /** Arms a fault for a number of requests; a negative number arms it for all. */
  public void arm(Fault fault, int requests) {
    synchronized (lock) {
      remaining.put(fault, requests);
    }
  }

  /** Returns whether the fault strikes the calling request, and uses it up. */
  public boolean take(Fault fault) {
    synchronized (lock) {
      int left = remaining.getOrDefault(fault, 0);
      if (left > 0) {
        remaining.put(fault, left - 1);
      }
      return left != 0;
    }
  }

  /** Returns whether every connection is closed without an answer. */
  public boolean outage() {
    synchronized (lock) {
      return outage;
    }
  }

  /** Returns whether the backend server is leaving and takes no new work. */
  public boolean leaving() {
    synchronized (lock) {
      return leaving;
    }
  }

  /** Sets whether the backend server is leaving. */
  public void setLeaving(boolean value) {
    synchronized (lock) {
      leaving = value;
    }
  }

  /** Returns the additional delay of every request in milliseconds. */
  public long delayMillis() {
    synchronized (lock) {
      return delayMillis;
    }
  }

  /** Returns the additional delay of a late answer in milliseconds. */
  public long lateMillis() {
    synchronized (lock) {
      return lateMillis;
    }
  }

  /** Returns the switches as {@code GET /faults} shows them. */
  public ObjectNode toJson() {
    synchronized (lock) {
      ObjectNode node = Json.object();
      node.put(OUTAGE, outage);
      node.put(LEAVING, leaving);
      node.put(DELAY, delayMillis);
      node.put(LATE_DELAY, lateMillis);
      for (Fault fault : Fault.values()) {
        node.put(fault.field(), remaining.getOrDefault(fault, 0));
      }
      return node;
    }
  }
}
