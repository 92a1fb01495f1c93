package org.coltsfootvale.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Reads the lines that routers write: one JSON object each, with {@code at}, {@code router} and
 * {@code event}. What stands before the object on a line, as a collector of logs may add it, is
 * ignored, and so are lines without an object.
 */
final class DecisionLines {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private DecisionLines() {}

  /**
   * Reads files and returns their lines in the order of time.
   *
   * @throws CliException if a file cannot be read or holds no line of a router
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
      // A line that was cut or is another program's tells nothing; the others still do.
    }
  }
}
