package org.coltsfootvale.core.error;

/** What a refused or failed request is known to have done. */
public enum Outcome {
  /** The request did not run and never will. */
  NOT_RUN,
  /** The request may have run, or may still be running. */
  UNKNOWN
}
