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

/** Follows one request through the logs of all routers. */
final class ExplainCommand implements Command {

  private static final String REQUEST = "request";

  /** Changes of belief this long before a request may have led to what became of it. */
  private static final Duration BEFORE = Duration.ofSeconds(5);

  private static final Set<String> SHOWN_APART = Set.of("at", "router", "event", REQUEST);

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
    List<JsonNode> own = lines.stream().filter(line -> isOf(line, id)).toList();
    if (own.isEmpty()) {
      throw new CliException(
          ExitCode.NOT_FOUND,
          "NOT_FOUND",
          "no line names the request '%s'".formatted(id),
          "Give the logs of all routers of that time, and the id of the attempt; a line may also"
              + " have been suppressed, see the events 'log.suppressed'.");
    }
    List<JsonNode> around = around(lines, own);
    ObjectNode result = Output.object().put(REQUEST, id);
    ArrayNode followed = result.putArray("lines").addAll(own);
    result.putArray("changes_around").addAll(around);
    result.put("verdict", verdict(followed));
    invocation.output().result(result, text(own, around, verdict(followed)));
    return ExitCode.OK;
  }

  private static boolean isOf(JsonNode line, String id) {
    return line.path(REQUEST).asText().equals(id);
  }

  /** Returns the changes of belief of the same routers, and of replicas that the request met. */
  private static List<JsonNode> around(List<JsonNode> lines, List<JsonNode> own) {
    Set<String> routers = new TreeSet<>();
    own.forEach(line -> routers.add(line.path("router").asText()));
    Instant from = Instant.parse(own.get(0).path("at").asText()).minus(BEFORE);
    Instant to = Instant.parse(own.get(own.size() - 1).path("at").asText());
    return lines.stream()
        .filter(line -> !line.has(REQUEST) && routers.contains(line.path("router").asText()))
        .filter(line -> within(line, from, to))
        .toList();
  }

  private static boolean within(JsonNode line, Instant from, Instant to) {
    Instant at = Instant.parse(line.path("at").asText());
    return !at.isBefore(from) && !at.isAfter(to);
  }

  private static String verdict(Iterable<JsonNode> own) {
    String cause = "";
    String end = "no end is logged: the request is in progress, or its router has ended";
    for (JsonNode line : own) {
      switch (line.path("event").asText()) {
        case "attempt.failed" ->
            cause =
                "%s (%s), so %s"
                    .formatted(
                        line.path("replica").asText(),
                        line.path("cause").asText(),
                        line.path("next").asText());
        case "request.completed" -> end = "a whole answer with status " + line.path("status");
        case "request.refused" -> end = "refused, not run: " + line.path("reason").asText();
        case "request.failed" -> end = "failed with status " + line.path("status");
        case "request.broken_off" -> end = "the answer was ended in its midst";
        case "request.abandoned" -> end = "the caller had left";
        case "request.denied" -> end = "denied: " + line.path("cause").asText();
        default -> {
          // Other events say how it went on, not how it ended.
        }
      }
    }
    return cause.isEmpty() ? end : end + "; last failed attempt: " + cause;
  }

  private static String text(List<JsonNode> own, List<JsonNode> around, String verdict) {
    List<String> text = new ArrayList<>();
    around.forEach(line -> text.add("  around  " + describe(line)));
    own.forEach(line -> text.add(describe(line)));
    text.add(verdict);
    return String.join("\n", text);
  }

  private static String describe(JsonNode line) {
    StringBuilder text = new StringBuilder();
    text.append(line.path("at").asText()).append(' ').append(line.path("router").asText());
    text.append(' ').append(line.path("event").asText());
    line.fields()
        .forEachRemaining(
            field -> {
              if (!SHOWN_APART.contains(field.getKey())) {
                text.append(' ').append(field.getKey()).append('=');
                text.append(field.getValue().asText());
              }
            });
    return text.toString();
  }
}
