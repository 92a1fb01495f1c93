package org.coltsfootvale.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;

/** Prints results and errors as text or as JSON. */
final class Output {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final PrintStream out;
  private final PrintStream err;
  private final boolean json;

  Output(PrintStream out, PrintStream err, boolean json) {
    this.out = out;
    this.err = err;
    this.json = json;
  }

  /** Returns whether JSON is asked for. */
  boolean json() {
    return json;
  }

  /** Prints a result: the object where JSON is asked for, else the text. */
  void result(JsonNode object, String text) {
    out.println(json ? pretty(object) : text);
  }

  /** Prints a piece of text at once, only where text is asked for. */
  void piece(String text) {
    if (!json) {
      out.print(text);
      out.flush();
    }
  }

  /** Prints a remark beside the result, only where text is asked for. */
  void remark(String text) {
    if (!json) {
      err.println(text);
    }
  }

  /** Prints an error with its remedy. */
  void error(CliException error) {
    if (json) {
      ObjectNode node = MAPPER.createObjectNode();
      node.put("kind", error.kind()).put("detail", error.getMessage());
      node.put("remedy", error.remedy()).put("exitCode", error.exitCode().number());
      err.println(pretty(node));
    } else {
      err.printf("%s: %s%n", error.kind(), error.getMessage());
      err.println(error.remedy());
    }
  }

  /** Returns an empty object. */
  static ObjectNode object() {
    return MAPPER.createObjectNode();
  }

  /** Returns the indented text of a node. */
  static String pretty(JsonNode node) {
    try {
      return MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(node);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a JSON tree can always be written", e);
    }
  }
}
