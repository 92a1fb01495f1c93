package org.coltsfootvale.core.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

/** Knows the line of each field of a YAML text, by JSON pointers such as {@code /router/id}. */
public final class YamlLines {

  private final Map<String, Integer> lines;

  private YamlLines(Map<String, Integer> lines) {
    this.lines = lines;
  }

  /**
   * Reads a text.
   *
   * @throws IOException if the text is no YAML
   */
  public static YamlLines read(YAMLFactory factory, String yaml) throws IOException {
    Map<String, Integer> lines = new HashMap<>();
    try (JsonParser parser = factory.createParser(yaml)) {
      for (JsonToken token = parser.nextToken(); token != null; token = parser.nextToken()) {
        String pointer = parser.getParsingContext().pathAsPointer().toString();
        lines.putIfAbsent(pointer, parser.currentTokenLocation().getLineNr());
      }
    }
    return new YamlLines(lines);
  }

  /** Returns the line of a field, or that of the nearest enclosing field that has one, or 0. */
  public int lineOf(String pointer) {
    String candidate = pointer;
    while (!candidate.isEmpty()) {
      Integer line = lines.get(candidate);
      if (line != null) {
        return line;
      }
      candidate = candidate.substring(0, candidate.lastIndexOf('/'));
    }
    return 0;
  }
}
