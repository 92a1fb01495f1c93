package org.coltsfootvale.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.apache.commons.cli.Option;

/** Counts logged events by type and reason. */
final class SummaryCommand implements Command {

  @Override
  public String name() {
    return "summary";
  }

  @Override
  public String summary() {
    return "counts events, and the reasons of failures, in the logs of routers";
  }

  @Override
  public String arguments() {
    return "LOGFILE...";
  }

  @Override
  public List<Option> options() {
    return List.of();
  }

  @Override
  public List<String> examples() {
    return List.of("coltsfootvale summary --output json router-1.log router-2.log");
  }

  @Override
  public ExitCode run(Invocation invocation) {
    Map<String, Long> counts = new TreeMap<>();
    for (JsonNode line : DecisionLines.read(invocation, invocation.arguments("a log file"))) {
      counts.merge(line.path("event").asText() + reason(line), 1L, Long::sum);
    }
    ObjectNode json = Output.object();
    List<String> text = new ArrayList<>();
    counts.forEach(
        (key, count) -> {
          json.put(key, count);
          text.add("%8d  %s".formatted(count, key));
        });
    invocation.output().printResult(json, String.join("\n", text));
    return ExitCode.OK;
  }

  private static String reason(JsonNode line) {
    return switch (line.path("event").asText()) {
      case "request.completed", "request.failed" -> " " + line.path("status").asText();
      case "request.refused" -> " " + line.path("reason").asText();
      case "request.denied" -> " " + line.path("cause").asText();
      case "attempt.failed" ->
          " " + line.path("cause").asText() + " -> " + line.path("next").asText();
      default -> "";
    };
  }
}
