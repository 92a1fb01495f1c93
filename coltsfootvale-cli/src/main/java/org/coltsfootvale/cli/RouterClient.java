package org.coltsfootvale.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.ConnectException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/** Calls routers and converts problem responses into {@link CliException}s. */
final class RouterClient implements AutoCloseable {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final List<String> routers;
  private final Optional<String> token;
  private final OkHttpClient http;

  /**
   * Creates a client.
   *
   * @param routers the base addresses, tried in order until one accepts a connection
   * @param token the credential, empty to send none
   * @param timeout the maximum duration of a call
   */
  RouterClient(List<String> routers, Optional<String> token, Duration timeout) {
    this.routers = routers.stream().map(RouterClient::checkAddress).toList();
    this.token = token;
    this.http =
        new OkHttpClient.Builder().retryOnConnectionFailure(false).callTimeout(timeout).build();
  }

  /** Returns a resource as JSON. */
  JsonNode get(String path) {
    return read("GET", path, null);
  }

  /** Posts text and returns the answer as JSON. */
  JsonNode post(String path, String body) {
    return read("POST", path, RequestBody.create(body, null));
  }

  /**
   * Sends a request to the first router that accepts a connection.
   *
   * @return a successful response, to be closed by the caller
   * @throws CliException if no router answers or the response is a problem
   */
  Response open(Request.Builder request, String path) {
    token.ifPresent(text -> request.header("Authorization", "Bearer " + text));
    IOException last = new IOException("no address");
    for (String router : routers) {
      try {
        Response response = http.newCall(request.url(router + path).build()).execute();
        return requireSuccess(response);
      } catch (ConnectException e) {
        last = e;
      } catch (IOException e) {
        throw answerLost(router, e);
      }
    }
    throw new CliException(
        ExitCode.UNREACHABLE,
        "UNREACHABLE",
        "no router answers at %s: %s".formatted(String.join(", ", routers), last.getMessage()),
        "Check the addresses given by --router or $COLTSFOOTVALE_ROUTER; the request did not run.");
  }

  @Override
  public void close() {
    http.dispatcher().executorService().shutdown();
    http.connectionPool().evictAll();
  }

  private JsonNode read(
      String method, String path, @org.jspecify.annotations.Nullable RequestBody body) {
    Request.Builder request = new Request.Builder().method(method, body);
    try (Response response = open(request, path)) {
      return MAPPER.readTree(response.body().string());
    } catch (JsonProcessingException e) {
      throw new CliException(
          ExitCode.UNREACHABLE,
          "NOT_A_ROUTER",
          "the answer to %s is not JSON".formatted(path),
          "Check that --router names a router and not another program.");
    } catch (IOException e) {
      throw answerLost(path, e);
    }
  }

  private static Response requireSuccess(Response response) throws IOException {
    if (response.isSuccessful()) {
      return response;
    }
    try (response) {
      throw problem(response.code(), response.body().string());
    }
  }

  /** Returns the failure described by a problem body. */
  static CliException problem(int status, String body) {
    JsonNode problem = parse(body);
    boolean unknown = problem.path("outcome").asText().equals("unknown");
    return new CliException(
        unknown ? ExitCode.OUTCOME_UNKNOWN : ExitCode.REFUSED,
        problem.path("title").asText("HTTP_" + status),
        problem.path("detail").asText("the router answered with status " + status),
        problem.path("remedy").asText("Look at the router's /state for the cause."));
  }

  private static JsonNode parse(String body) {
    try {
      return MAPPER.readTree(body);
    } catch (JsonProcessingException e) {
      return Output.object();
    }
  }

  private static CliException answerLost(String where, IOException e) {
    return new CliException(
        ExitCode.OUTCOME_UNKNOWN,
        "NO_ANSWER",
        "the answer of %s was lost: %s".formatted(where, e.getMessage()),
        "The request may have run. A release note may be submitted again under the same id.");
  }

  private static String checkAddress(String address) {
    String trimmed = address.strip().replaceAll("/+$", "");
    if (HttpUrl.parse(trimmed) == null) {
      throw CliException.usage(
          "'%s' is not the address of a router".formatted(address),
          "Write http://ip:port, several separated by commas.");
    }
    return trimmed;
  }
}
