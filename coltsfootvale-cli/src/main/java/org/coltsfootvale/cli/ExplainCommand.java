package org.coltsfootvale.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.apache.commons.cli.Option;

/** Traces one request through the logs of all routers. */
final class ExplainCommand implements Command {

  private static final String REQUEST = "request";

  /** Changes of a router's view within this time before a request may have affected its outcome. */
  private static final Duration LOOKBACK = Duration.ofSeconds(5);

  private static final Set<String> OMITTED_FIELDS = Set.of("at", "router", "event", REQUEST);

  @Override
  public String name() {
    return "explain";
  }

  @Override
  public String summary() {
    return "follows one request through the logs of all routers, in the order of time";
  }

  @Override
  public String arguments() {
    return "LOGFILE...";
  }

  @Override
  public List<Option> options() {
    return List.of(
        Option.builder().longOpt(REQUEST).hasArg().argName("ID").desc("the caller's id").build());
  }

  @Override
  public List<String> examples() {
    return List.of("coltsfootvale explain --request 32e2e1a0c1bd04a1 router-1.log router-2.log");
  }

  @Override
  public ExitCode run(Invocation invocation) {
    String id =
        invocation
            .option(REQUEST)
            .orElseThrow(() -> CliException.usage("--request is missing", "Give a request's id."));
    List<JsonNode> lines = DecisionLines.read(invocation, invocation.arguments("a log file"));
    List<JsonNode> requestLines = lines.stream().filter(line -> matches(line, id)).toList();
    if (requestLines.isEmpty()) {
      throw new CliException(
          ExitCode.NOT_FOUND,
          "NOT_FOUND",
          "no line names the request '%s'".formatted(id),
          "Give the logs of all routers of that time, and the id of the attempt; a line may also"
              + " have been suppressed, see the events 'log.suppressed'.");
    }
    List<JsonNode> surrounding = surroundingLines(lines, requestLines);
    ObjectNode result = Output.object().put(REQUEST, id);
    ArrayNode followed = result.putArray("lines").addAll(requestLines);
    result.putArray("changes_around").addAll(surrounding);
    result.put("verdict", verdict(followed));
    invocation.output().printResult(result, format(requestLines, surrounding, verdict(followed)));
    return ExitCode.OK;
  }

  private static boolean matches(JsonNode line, String id) {
    return line.path(REQUEST).asText().equals(id);
  }

  /** Returns the lines of the same routers that belong to no request, around its time. */
  private static List<JsonNode> surroundingLines(
      List<JsonNode> lines, List<JsonNode> requestLines) {
    Set<String> routers = new TreeSet<>();
    requestLines.forEach(line -> routers.add(line.path("router").asText()));
    Instant from = Instant.parse(requestLines.get(0).path("at").asText()).minus(LOOKBACK);
    Instant to = Instant.parse(requestLines.get(requestLines.size() - 1).path("at").asText());
    return lines.stream()
        .filter(line -> !line.has(REQUEST) && routers.contains(line.path("router").asText()))
        .filter(line -> within(line, from, to))
        .toList();
  }

  private static boolean within(JsonNode line, Instant from, Instant to) {
    Instant at = Instant.parse(line.path("at").asText());
    return !at.isBefore(from) && !at.isAfter(to);
  }

  private static String verdict(Iterable<JsonNode> requestLines) {
    String cause = "";
    String outcome = "no end is logged: the request is in progress, or its router has ended";
    for (JsonNode line : requestLines) {
      switch (line.path("event").asText()) {
        case "attempt.failed" ->
            cause =
                "%s (%s), so %s"
                    .formatted(
                        line.path("replica").asText(),
                        line.path("cause").asText(),
                        line.path("next").asText());
        case "request.completed" -> outcome = "a whole answer with status " + line.path("status");
        case "request.refused" -> outcome = "refused, not run: " + line.path("reason").asText();
        case "request.failed" -> outcome = "failed with status " + line.path("status");
        case "request.broken_off" -> outcome = "the answer was ended in its midst";
        case "request.abandoned" -> outcome = "the caller had left";
        case "request.denied" -> outcome = "denied: " + line.path("cause").asText();
        default -> {
          // Other events are intermediate steps and do not determine the outcome.
        }
      }
    }
    return cause.isEmpty() ? outcome : outcome + "; last failed attempt: " + cause;
  }

  private static String format(
      List<JsonNode> requestLines, List<JsonNode> surrounding, String verdict) {
    List<String> text = new ArrayList<>();
    surrounding.forEach(line -> text.add("  around  " + formatLine(line)));
    requestLines.forEach(line -> text.add(formatLine(line)));
    text.add(verdict);
    return String.join("\n", text);
  }

  private static String formatLine(JsonNode line) {
    StringBuilder text = new StringBuilder();
    text.append(line.path("at").asText()).append(' ').append(line.path("router").asText());
    text.append(' ').append(line.path("event").asText());
    line.fields()
        .forEachRemaining(
            field -> {
              if (!OMITTED_FIELDS.contains(field.getKey())) {
                text.append(' ').append(field.getKey()).append('=');
                text.append(field.getValue().asText());
              }
            });
    return text.toString();
  }
}
