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

  /** Returns whether the output format is JSON. */
  boolean json() {
    return json;
  }

  /** Prints a result: the object in JSON output, otherwise the text. */
  void printResult(JsonNode object, String text) {
    out.println(json ? pretty(object) : text);
  }

  /** Prints part of a result and flushes it; does nothing in JSON output. */
  void printPartial(String text) {
    if (!json) {
      out.print(text);
      out.flush();
    }
  }

  /** Prints a notice to the error stream; does nothing in JSON output. */
  void printNotice(String text) {
    if (!json) {
      err.println(text);
    }
  }

  /** Prints an error with its remedy to the error stream. */
  void printError(CliException error) {
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

  /** Returns an empty JSON object. */
  static ObjectNode object() {
    return MAPPER.createObjectNode();
  }

  /** Returns a node as indented JSON. */
  static String pretty(JsonNode node) {
    try {
      return MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(node);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a JSON tree can always be written", e);
    }
  }
}
