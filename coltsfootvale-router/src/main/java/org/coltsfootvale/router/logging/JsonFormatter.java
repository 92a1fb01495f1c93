package org.coltsfootvale.router.logging;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/** Formats a log record as one JSON object on a line. */
final class JsonFormatter extends Formatter {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final String router;

  JsonFormatter(String router) {
    this.router = router;
  }

  @Override
  public String format(LogRecord record) {
    ObjectNode line = MAPPER.createObjectNode();
    line.put("at", record.getInstant().toString());
    line.put("level", record.getLevel().getName());
    line.put("router", router);
    line.put("logger", record.getLoggerName());
    line.put("message", formatMessage(record));
    if (record.getThrown() != null) {
      line.put("error", record.getThrown().toString());
    }
    try {
      return MAPPER.writeValueAsString(line) + "\n";
    } catch (JsonProcessingException e) {
      return "{}\n";
    }
  }
}
