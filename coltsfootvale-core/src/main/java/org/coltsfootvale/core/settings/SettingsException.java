package org.coltsfootvale.core.settings;

import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.error.Outcome;

/**
 * Thrown if a router cannot start with its settings; the message contains the line and the remedy.
 */
public class SettingsException extends ColtsfootvaleException {

  private static final long serialVersionUID = 1L;

  private final int line;

  /**
   * Creates the error.
   *
   * @param line the line in the settings, from 1, or 0 if the error concerns no particular line
   * @param detail the error and the accepted values
   */
  public SettingsException(int line, String detail) {
    super(
        ErrorKind.MALFORMED_REQUEST,
        Outcome.NOT_RUN,
        line == 0 ? detail : "line " + line + ": " + detail);
    this.line = line;
  }

  /** Returns the line, from 1, or 0 if the error concerns no particular line. */
  public int line() {
    return line;
  }
}
