package org.coltsfootvale.core.release;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Finds the line of a field in a YAML text. */
final class YamlLineIndex {

  private static final YAMLFactory FACTORY = new YAMLFactory();

  private final Map<String, Integer> lines = new HashMap<>();

  /** Indexes the text up to its first syntax error. */
  YamlLineIndex(String yaml) {
    try (JsonParser parser = FACTORY.createParser(yaml)) {
      while (parser.nextToken() != null) {
        String pointer = parser.getParsingContext().pathAsPointer().toString();
        lines.putIfAbsent(pointer, parser.currentTokenLocation().getLineNr());
      }
    } catch (IOException ignored) {
      // Lines before the syntax error are sufficient.
    }
  }

  /** Returns the line of a field or of its innermost enclosing field that is present, from 1. */
  int lineOf(List<JsonMappingException.Reference> path) {
    StringBuilder pointer = new StringBuilder();
    int line = 1;
    for (JsonMappingException.Reference reference : path) {
      String name = reference.getFieldName();
      pointer.append('/').append(name == null ? String.valueOf(reference.getIndex()) : name);
      line = lines.getOrDefault(pointer.toString(), line);
    }
    return line;
  }
}
