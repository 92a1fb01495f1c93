package org.coltsfootvale.core.routing;

/** What a route allows when a request may already have run. */
public enum Repeatability {
  /** The request may run more than once. */
  IDEMPOTENT,
  /** The request runs at most once. */
  AT_MOST_ONCE,
  /** The answer is a stream of numbered events; it runs at most once unless it can be resumed. */
  STREAMING
}
