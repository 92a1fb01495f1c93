package org.coltsfootvale.core.entry;

/** Answers callers that ask which routers to use. Thread-safe. */
public interface EntryAnswers {

  /**
   * Returns an answer that spreads callers by load and data centre; it never names a router that
   * leaves.
   *
   * @throws org.coltsfootvale.core.error.ColtsfootvaleException NOT_READY if no router is known to
   *     take new work
   */
  EntryAnswer answer();
}
