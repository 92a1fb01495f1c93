package org.coltsfootvale.verify.policy;

/** What routers know of the engines' loads. */
enum Information {
  /** Load reports that lag. */
  REPORTS,
  /** Load reports, and dispatch counts exchanged with the other routers. */
  EXCHANGE,
  /** The actual state of every engine, which no real router has. */
  PERFECT
}
