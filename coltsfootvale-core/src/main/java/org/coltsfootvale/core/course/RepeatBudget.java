package org.coltsfootvale.core.course;

/** Allows requests to be sent once more, within what the whole fleet may spend. */
public interface RepeatBudget {

  /** Counts a new request for a service. */
  void requestArrived(String service);

  /** Takes one repeat for a service; returns false if none may be spent now. */
  boolean tryAcquire(String service);

  /** Returns the repeats that may still be spent on a service now. */
  double remaining(String service);
}
