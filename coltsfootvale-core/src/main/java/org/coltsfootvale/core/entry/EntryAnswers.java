package org.coltsfootvale.core.entry;

/** Selects the routers that a caller may use. Thread-safe. */
public interface EntryAnswers {

  /**
   * Returns an answer that distributes callers by load and data centre; it never contains a leaving
   * router.
   *
   * @throws org.coltsfootvale.core.error.ColtsfootvaleException NOT_READY if no router is known to
   *     take new work
   */
  EntryAnswer answer();
}
