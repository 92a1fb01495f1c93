package org.coltsfootvale.core.error;

/** The known outcome of a refused or failed request. */
public enum Outcome {
  /** The request did not run and never will. */
  NOT_RUN,
  /** The request may have run, or may still be running. */
  UNKNOWN
}
