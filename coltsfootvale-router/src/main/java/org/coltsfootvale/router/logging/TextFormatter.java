package org.coltsfootvale.router.logging;

import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/** Formats a log record as one line of text. */
final class TextFormatter extends Formatter {

  private final String router;

  TextFormatter(String router) {
    this.router = router;
  }

  @Override
  public String format(LogRecord record) {
    String error = record.getThrown() == null ? "" : " (" + record.getThrown() + ")";
    return String.format(
        "%s %-7s %s %s%s%n",
        record.getInstant(), record.getLevel(), router, formatMessage(record), error);
  }
}
