package org.coltsfootvale.testkit.support;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;

/** Reads and writes the JSON bodies of the stand-ins. */
public final class Json {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private Json() {}

  /** Returns an empty JSON object. */
  public static ObjectNode object() {
    return MAPPER.createObjectNode();
  }

  /**
   * Parses a body.
   *
   * @throws IllegalArgumentException if the text is not a JSON object
   */
  public static JsonNode parseObject(String text) {
    try {
      JsonNode node = MAPPER.readTree(text);
      if (node == null || !node.isObject()) {
        throw new IllegalArgumentException("the body must be a JSON object");
      }
      return node;
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("the body is not JSON: " + e.getOriginalMessage(), e);
    }
  }

  /** Returns a node as JSON text. */
  public static String write(JsonNode node) {
    return node.toString();
  }

  /** Returns a node as JSON text in UTF-8, followed by a line feed. */
  public static byte[] writeLine(JsonNode node) {
    return (node + "\n").getBytes(StandardCharsets.UTF_8);
  }
}
