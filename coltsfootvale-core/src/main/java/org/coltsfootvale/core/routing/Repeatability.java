package org.coltsfootvale.core.routing;

/** Whether a request of a route may be sent again after it may have run. */
public enum Repeatability {
  /** The request may run more than once. */
  IDEMPOTENT,
  /** The request runs at most once. */
  AT_MOST_ONCE,
  /**
   * The answer is a stream of numbered events; the request runs at most once unless the stream can
   * be resumed.
   */
  STREAMING
}
