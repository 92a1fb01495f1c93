package org.coltsfootvale.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Reads the decision logs of routers: one JSON object a line, with {@code at}, {@code router} and
 * {@code event}. Text before the object, such as a prefix added by a log collector, is ignored, and
 * so are lines without an object.
 */
final class DecisionLines {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private DecisionLines() {}

  /**
   * Reads files and returns their lines in chronological order.
   *
   * @throws CliException if a file cannot be read or contains no log line of a router
   */
  static List<JsonNode> read(Invocation invocation, List<String> files) {
    List<JsonNode> lines = new ArrayList<>();
    for (String file : files) {
      int before = lines.size();
      invocation.readFile(file).lines().forEach(text -> add(lines, text));
      if (lines.size() == before) {
        throw CliException.invalidFile(
            "the file '%s' holds no line of a router".formatted(file),
            "Give the standard output of a router: JSON lines with 'at', 'router' and 'event'.");
      }
    }
    lines.sort(Comparator.comparing(line -> line.path("at").asText()));
    return lines;
  }

  private static void add(List<JsonNode> lines, String text) {
    int begin = text.indexOf('{');
    if (begin < 0) {
      return;
    }
    try {
      JsonNode line = MAPPER.readTree(text.substring(begin));
      if (line.has("at") && line.has("event")) {
        lines.add(line);
      }
    } catch (JsonProcessingException ignored) {
      // Skips truncated lines and lines of other programs.
    }
  }
}
