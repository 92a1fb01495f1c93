package org.coltsfootvale.core.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

/** Maps each field of a YAML text to its line, by JSON pointers such as {@code /router/id}. */
public final class YamlLineIndex {

  private final Map<String, Integer> lines;

  private YamlLineIndex(Map<String, Integer> lines) {
    this.lines = lines;
  }

  /**
   * Indexes a text.
   *
   * @throws IOException if the text is not valid YAML
   */
  public static YamlLineIndex read(YAMLFactory factory, String yaml) throws IOException {
    Map<String, Integer> lines = new HashMap<>();
    try (JsonParser parser = factory.createParser(yaml)) {
      for (JsonToken token = parser.nextToken(); token != null; token = parser.nextToken()) {
        String pointer = parser.getParsingContext().pathAsPointer().toString();
        lines.putIfAbsent(pointer, parser.currentTokenLocation().getLineNr());
      }
    }
    return new YamlLineIndex(lines);
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
