package org.coltsfootvale.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import okhttp3.MediaType;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okhttp3.sse.EventSources;
import org.apache.commons.cli.Option;

/**
 * Sends a question to a model as a caller does: fetches the entry addresses, then streams the
 * answer.
 */
final class AskCommand implements Command {

  private static final MediaType JSON = MediaType.get("application/json");
  private static final String MODEL = "model";
  private static final String CHAT = "chat";
  private static final String CONTINUATION = "continuation";
  private static final String CLASS = "class";
  private static final String MAX_TOKENS = "max-tokens";
  private static final String DEADLINE_MILLIS = "deadline-millis";
  private static final long MAX_TOKENS_DEFAULT = 128;
  private static final long MAX_TOKENS_MAX = 1_000_000;
  private static final long DEADLINE_MILLIS_DEFAULT = 120_000;
  private static final long DEADLINE_MILLIS_MAX = 600_000;
  private static final long CONNECT_ALLOWANCE_MILLIS = 2_000;

  @Override
  public String name() {
    return "ask";
  }

  @Override
  public String summary() {
    return "asks a model and shows the answer as it comes";
  }

  @Override
  public String arguments() {
    return "TEXT";
  }

  @Override
  public List<Option> options() {
    return List.of(
        CommonOptions.value(MODEL, "id", "the model; required"),
        CommonOptions.value(CHAT, "id", "the chat's id"),
        CommonOptions.value(CONTINUATION, "token", "the token of the chat's last answer"),
        CommonOptions.value(CLASS, "quick|tag|report", "the class, quick by default"),
        CommonOptions.value(MAX_TOKENS, "n", "the longest answer, 128 by default"),
        CommonOptions.value(DEADLINE_MILLIS, "n", "the deadline, 120000 by default"));
  }

  @Override
  public List<String> examples() {
    return List.of(
        "coltsfootvale ask --token-file reserve.key --model species \"Which wader is this?\"",
        "coltsfootvale ask --model species --chat marsh-7 --class report \"Sum up the season\"");
  }

  @Override
  public ExitCode run(Invocation invocation) {
    String text = invocation.argument("the question");
    Request.Builder request = request(invocation, text);
    long deadlineMillis =
        invocation.number(DEADLINE_MILLIS, DEADLINE_MILLIS_DEFAULT, 1, DEADLINE_MILLIS_MAX);
    request.header("Coltsfootvale-Deadline-Millis", Long.toString(deadlineMillis));
    Duration timeout = Duration.ofMillis(deadlineMillis + CONNECT_ALLOWANCE_MILLIS);
    List<String> addresses = entryAddresses(invocation);
    try (RouterClient client = invocation.client(addresses, timeout);
        Response response = client.open(request, "/v1/chat/completions")) {
      AnswerPrinter printer = new AnswerPrinter(invocation.output());
      EventSources.processResponse(response, printer);
      printer.finish(response.header("Coltsfootvale-Request-Id", ""));
      return ExitCode.OK;
    }
  }

  private static List<String> entryAddresses(Invocation invocation) {
    try (RouterClient client = invocation.client()) {
      List<String> addresses = new ArrayList<>();
      client.get("/v1/entry").path("addresses").forEach(a -> addresses.add(a.asText()));
      return addresses;
    }
  }

  private static Request.Builder request(Invocation invocation, String text) {
    String model =
        invocation
            .option(MODEL)
            .orElseThrow(() -> CliException.usage("--model is missing", "Give the id of a model."));
    ObjectNode body = Output.object().put("model", model).put("stream", true);
    body.put("max_tokens", invocation.number(MAX_TOKENS, MAX_TOKENS_DEFAULT, 1, MAX_TOKENS_MAX));
    JsonNode message = Output.object().put("role", "user").put("content", text);
    body.putArray("messages").add(message);
    Request.Builder request = new Request.Builder().post(RequestBody.create(body.toString(), JSON));
    request.header("Coltsfootvale-Class", requestClass(invocation));
    invocation.option(CHAT).ifPresent(chat -> request.header("Coltsfootvale-Chat", chat));
    invocation
        .option(CONTINUATION)
        .ifPresent(token -> request.header("Coltsfootvale-Continuation", token));
    return request;
  }

  private static String requestClass(Invocation invocation) {
    String name = invocation.option(CLASS).orElse("quick");
    if (!name.matches("quick|tag|report")) {
      throw CliException.usage("--class is '%s'".formatted(name), "Give quick, tag or report.");
    }
    return name;
  }
}
