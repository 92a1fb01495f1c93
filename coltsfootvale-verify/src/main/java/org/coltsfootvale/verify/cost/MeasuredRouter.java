package org.coltsfootvale.verify.cost;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.InstantSource;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import org.coltsfootvale.core.settings.RouterSettings;
import org.coltsfootvale.core.settings.SettingsReader;
import org.coltsfootvale.router.lifecycle.RouterServer;
import org.coltsfootvale.router.logging.LogSetup;
import org.coltsfootvale.router.wiring.DaggerRouterComponent;
import org.coltsfootvale.testkit.platform.PlatformOptions;
import org.coltsfootvale.testkit.platform.PlatformStandIn;

/** Complete router with a platform stand-in, one organisation and the given engines. */
final class MeasuredRouter implements AutoCloseable {

  static final String KEY = "key of the measured organisation";
  static final String MODEL = "measured-1";
  private static final String TOKEN = "token of the measuring operator";
  private static final String READY_BODY =
      "{\"model\":\""
          + MODEL
          + "\",\"max_tokens\":1,\"messages\":[{\"role\":\"user\","
          + "\"content\":\"ready\"}]}";

  private final PlatformStandIn platform =
      new PlatformStandIn(PlatformOptions.onPort(0), InstantSource.system());
  private final RouterServer server;
  private final HttpClient client = HttpClient.newHttpClient();
  private final int port;

  MeasuredRouter(List<URI> engines) throws IOException, InterruptedException {
    platform.start();
    port = freePort();
    RouterSettings settings = new SettingsReader().read(settings(port, freePort(), platform.url()));
    LogSetup.apply(settings);
    server = DaggerRouterComponent.factory().create(settings).server();
    server.start();
    submit(releaseNote(engines));
    awaitReady();
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }

  private static String settings(int callers, int peers, String platform) {
    return """
        router: {id: measured, dataCentre: here}
        listen: {callers: "127.0.0.1:%d", peers: "127.0.0.1:%d"}
        platform: {keyValueUrl: "%3$s", weightsUrl: "%3$s", hostsUrl: "%3$s"}
        security:
          fleetSecrets: ["a secret of at least thirty-two characters"]
          bootstrapOperatorTokenHash: %4$s
        requests: {concurrentMax: 4000, silenceMillisMax: 60000}
        logging: {level: warning}
        """
        .formatted(callers, peers, platform, sha256(TOKEN));
  }

  private static String releaseNote(List<URI> engines) {
    StringBuilder note =
        new StringBuilder(
            """
            id: measured
            added:
              models:
                - {id: %s, contextTokensMax: 100000}
              pools:
                - {id: all, modelVersion: v1, adapters: [], role: mixed}
              organisations:
                - id: measured
                  keyHashes: [%s]
                  weight: 1
                  requestsPerSecond: 1000000
                  tokensPerSecond: 1000000000
              engines:
            """
                .formatted(MODEL, sha256(KEY)));
    for (int i = 0; i < engines.size(); i++) {
      note.append(
          String.format(
              Locale.ROOT,
              "    - {id: e%d, pool: all, address: \"%s\", dataCentre: here, models: [%s],"
                  + " prefillTokensPerSecond: 1000000, checksFencing: true}%n",
              i,
              engines.get(i),
              MODEL));
    }
    return note.toString();
  }

  private static String sha256(String text) {
    try {
      byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
      return HexFormat.of()
          .formatHex(java.security.MessageDigest.getInstance("SHA-256").digest(bytes));
    } catch (java.security.NoSuchAlgorithmException e) {
      throw new IllegalStateException("the Java runtime has no SHA-256", e);
    }
  }

  private void submit(String note) throws IOException, InterruptedException {
    HttpResponse<String> answer = null;
    for (int i = 0; i < 100 && (answer == null || answer.statusCode() != 201); i++) {
      Thread.sleep(100);
      answer = send("/v1/notes", TOKEN, note);
    }
    if (answer == null || answer.statusCode() != 201) {
      throw new IOException(
          "the release note was not accepted: " + (answer == null ? "" : answer.body()));
    }
  }

  private void awaitReady() throws IOException, InterruptedException {
    String body = "";
    for (int i = 0; i < 200; i++) {
      HttpResponse<String> answer = send("/v1/chat/completions", KEY, READY_BODY);
      if (answer.statusCode() == 200) {
        return;
      }
      body = answer.body();
      Thread.sleep(100);
    }
    throw new IOException("the router did not become ready: " + body);
  }

  private HttpResponse<String> send(String path, String credential, String body)
      throws IOException, InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
            .header("Authorization", "Bearer " + credential)
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build();
    return client.send(request, HttpResponse.BodyHandlers.ofString());
  }

  /** Returns the base address for callers. */
  URI address() {
    return URI.create("http://127.0.0.1:" + port);
  }

  @Override
  public void close() {
    server.stop();
    platform.close();
  }
}
