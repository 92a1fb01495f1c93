package org.coltsfootvale.router.logging;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.SimpleFormatter;

/** Passes the lines of the logging library on to the structured log, so that all go one way. */
public final class StructuredLogHandler extends Handler {

  private final StructuredLog log;
  private final Formatter formatter = new SimpleFormatter();

  private StructuredLogHandler(StructuredLog log) {
    this.log = log;
  }

  /** Makes a log take all lines of the process; libraries log warnings only. */
  public static void install(StructuredLog log) {
    LogSetup.replaceHandlers(new StructuredLogHandler(log), Level.INFO);
  }

  @Override
  public void publish(LogRecord line) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("level", line.getLevel().getName());
    fields.put("logger", String.valueOf(line.getLoggerName()));
    fields.put("message", formatter.formatMessage(line));
    if (line.getThrown() != null) {
      fields.put("error", line.getThrown().toString());
    }
    log.message(line.getInstant(), fields);
  }

  @Override
  public void flush() {}

  @Override
  public void close() {}
}
