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

/** Calls routers and turns their problems into {@link CliException}s. */
final class RouterClient implements AutoCloseable {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final List<String> routers;
  private final Optional<String> token;
  private final OkHttpClient http;

  /**
   * Creates a client.
   *
   * @param routers base addresses, tried in order while none can be connected to
   * @param token the credential, empty to send none
   * @param timeout how long a call may take
   */
  RouterClient(List<String> routers, Optional<String> token, Duration timeout) {
    this.routers = routers.stream().map(RouterClient::checkAddress).toList();
    this.token = token;
    this.http =
        new OkHttpClient.Builder().retryOnConnectionFailure(false).callTimeout(timeout).build();
  }

  /** Reads a resource as JSON. */
  JsonNode get(String path) {
    return read("GET", path, null);
  }

  /** Sends text and reads the answer as JSON. */
  JsonNode post(String path, String body) {
    return read("POST", path, RequestBody.create(body, null));
  }

  /**
   * Sends a request to the first router that can be connected to.
   *
   * @return an answer with a successful status, to be closed by the caller
   * @throws CliException if no router answers or the answer is a problem
   */
  Response open(Request.Builder request, String path) {
    token.ifPresent(text -> request.header("Authorization", "Bearer " + text));
    IOException last = new IOException("no address");
    for (String router : routers) {
      try {
        Response response = http.newCall(request.url(router + path).build()).execute();
        return successful(response);
      } catch (ConnectException e) {
        last = e;
      } catch (IOException e) {
        throw lost(router, e);
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
      throw lost(path, e);
    }
  }

  private static Response successful(Response response) throws IOException {
    if (response.isSuccessful()) {
      return response;
    }
    try (response) {
      throw problem(response.code(), response.body().string());
    }
  }

  /** Returns the failure that a problem body tells of. */
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

  private static CliException lost(String where, IOException e) {
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
