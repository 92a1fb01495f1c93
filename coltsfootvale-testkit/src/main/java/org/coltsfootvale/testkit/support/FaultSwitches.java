package org.coltsfootvale.testkit.support;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.EnumMap;
import java.util.Map;

/**
 * The fault switches of one stand-in. Permanent faults apply until they are switched off; counted
 * faults affect the given number of requests, or all of them if the number is negative.
 * Thread-safe.
 */
public final class FaultSwitches {

  private static final String OUTAGE = "outage";
  private static final String LEAVING = "leaving";
  private static final String DELAY = "delayMillis";
  private static final String LATE_DELAY = "lateMillis";
  private static final long LATE_MILLIS_DEFAULT = 2_000;

  private final Object lock = new Object();
  private final Map<Fault, Integer> remainingRequests = new EnumMap<>(Fault.class);
  private boolean outage;
  private boolean leaving;
  private long delayMillis;
  private long lateMillis = LATE_MILLIS_DEFAULT;

  /** Sets the switches contained in the object and leaves the others unchanged. */
  public void update(JsonNode body) {
    synchronized (lock) {
      outage = body.path(OUTAGE).asBoolean(outage);
      leaving = body.path(LEAVING).asBoolean(leaving);
      delayMillis = body.path(DELAY).asLong(delayMillis);
      lateMillis = body.path(LATE_DELAY).asLong(lateMillis);
      for (Fault fault : Fault.values()) {
        int before = remainingRequests.getOrDefault(fault, 0);
        remainingRequests.put(fault, body.path(fault.field()).asInt(before));
      }
    }
  }

  /** Switches all faults off. */
  public void clear() {
    synchronized (lock) {
      outage = false;
      leaving = false;
      delayMillis = 0;
      lateMillis = LATE_MILLIS_DEFAULT;
      remainingRequests.clear();
    }
  }

  /** Enables a fault for a number of requests, or for all if the number is negative. */
  public void arm(Fault fault, int requests) {
    synchronized (lock) {
      remainingRequests.put(fault, requests);
    }
  }

  /** Returns whether the fault affects the current request, and counts the request against it. */
  public boolean consume(Fault fault) {
    synchronized (lock) {
      int count = remainingRequests.getOrDefault(fault, 0);
      if (count > 0) {
        remainingRequests.put(fault, count - 1);
      }
      return count != 0;
    }
  }

  /** Returns whether all connections are closed without an answer. */
  public boolean outage() {
    synchronized (lock) {
      return outage;
    }
  }

  /** Returns whether the backend server is leaving and accepts no new requests. */
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

  /** Returns the switches in the format of {@code GET /faults}. */
  public ObjectNode toJson() {
    synchronized (lock) {
      ObjectNode node = Json.object();
      node.put(OUTAGE, outage);
      node.put(LEAVING, leaving);
      node.put(DELAY, delayMillis);
      node.put(LATE_DELAY, lateMillis);
      for (Fault fault : Fault.values()) {
        node.put(fault.field(), remainingRequests.getOrDefault(fault, 0));
      }
      return node;
    }
  }
}
