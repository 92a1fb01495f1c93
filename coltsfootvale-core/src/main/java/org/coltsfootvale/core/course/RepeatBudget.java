package org.coltsfootvale.core.course;

/** Limits retries to what the whole fleet may spend. */
public interface RepeatBudget {

  /** Counts a new request for a service. */
  void requestArrived(String service);

  /** Acquires one retry for a service; returns false if the budget is exhausted. */
  boolean tryAcquire(String service);

  /** Returns the retries that may still be spent on a service. */
  double remaining(String service);
}
