package org.coltsfootvale.core.model;

/** The priority class of a request. Engines serve a smaller priority number first. */
public enum RequestClass {
  /** A short prompt whose caller waits for the first token. */
  QUICK(0),
  /** A label for a single item. */
  TAG(1),
  /** A long prompt with a long answer. */
  REPORT(2);

  private final int priority;

  RequestClass(int priority) {
    this.priority = priority;
  }

  /** Returns the priority sent to engines; 0 is served first. */
  public int priority() {
    return priority;
  }
}
