package org.coltsfootvale.verify.policy;

/** Source of the engine loads that the selectors use. */
enum LoadSource {
  /** Delayed load reports. */
  DELAYED_REPORTS,
  /** Delayed load reports and the dispatch counts exchanged between routers. */
  REPORTS_AND_COUNTS,
  /** The current state of every engine, which no real router has. */
  ACTUAL_LOADS
}
