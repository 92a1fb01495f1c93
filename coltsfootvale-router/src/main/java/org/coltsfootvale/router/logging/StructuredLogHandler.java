package org.coltsfootvale.router.logging;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.SimpleFormatter;

/** Forwards records of the logging library to the structured log, so that all share one output. */
public final class StructuredLogHandler extends Handler {

  private final StructuredLog log;
  private final Formatter formatter = new SimpleFormatter();

  private StructuredLogHandler(StructuredLog log) {
    this.log = log;
  }

  /** Routes all log records of the process to a log; libraries log at level WARNING or above. */
  public static void install(StructuredLog log) {
    LogSetup.replaceHandlers(new StructuredLogHandler(log), Level.INFO);
  }

  @Override
  public void publish(LogRecord logRecord) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("level", logRecord.getLevel().getName());
    fields.put("logger", String.valueOf(logRecord.getLoggerName()));
    fields.put("message", formatter.formatMessage(logRecord));
    if (logRecord.getThrown() != null) {
      fields.put("error", logRecord.getThrown().toString());
    }
    log.logMessage(logRecord.getInstant(), fields);
  }

  @Override
  public void flush() {}

  @Override
  public void close() {}
}
