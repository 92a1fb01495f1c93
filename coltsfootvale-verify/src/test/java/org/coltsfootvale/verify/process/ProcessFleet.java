package org.coltsfootvale.verify.process;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.coltsfootvale.testkit.engine.EngineOptions;
import org.coltsfootvale.testkit.engine.EngineStandIn;
import org.coltsfootvale.testkit.platform.PlatformOptions;
import org.coltsfootvale.testkit.platform.PlatformStandIn;
import org.coltsfootvale.testkit.service.ServiceStandIn;

/**
 * Test fleet: three routers in child processes, with stand-ins for the platform, two engines and
 * one plain service in the test process.
 */
final class ProcessFleet implements AutoCloseable {

  static final String OPERATOR_TOKEN = "operator-token";
  static final String CALLER_KEY = "key-of-reserve";

  private static final int ROUTERS = 3;
  private static final int ENGINES = 2;
  private static final Duration TIMEOUT = Duration.ofSeconds(60);
  private static final long POLL_MILLIS = 50;
  private static final MediaType TEXT = MediaType.get("text/plain");

  final PlatformStandIn platform;
  final List<EngineStandIn> engines = new ArrayList<>();
  final ServiceStandIn service;
  final List<RouterProcess> routers = new ArrayList<>();

  private final OkHttpClient client =
      new OkHttpClient.Builder()
          .retryOnConnectionFailure(false)
          .readTimeout(TIMEOUT)
          .callTimeout(TIMEOUT)
          .build();

  private ProcessFleet(double engineTimeScale, long serviceMillis) {
    PlatformOptions options = PlatformOptions.onPort(0).withHostsLagMillis(100);
    platform = new PlatformStandIn(options, InstantSource.system());
    for (int i = 0; i < ENGINES; i++) {
      EngineOptions engine = EngineOptions.of("engine-" + i, 0).with(true, engineTimeScale);
      engines.add(new EngineStandIn(engine, InstantSource.system()));
    }
    service = new ServiceStandIn("sightings-1", 0, serviceMillis);
  }

  /**
   * Starts a fleet and waits until its first release note is in force.
   *
   * @param engineTimeScale the factor by which the engines are faster than real time
   * @param serviceMillis the time that the service takes for a request, in milliseconds
   */
  static ProcessFleet start(double engineTimeScale, long serviceMillis) throws Exception {
    ProcessFleet fleet = new ProcessFleet(engineTimeScale, serviceMillis);
    fleet.platform.start();
    fleet.engines.forEach(EngineStandIn::start);
    fleet.service.start();
    fleet.startRouters();
    List<String> engineUrls = fleet.engines.stream().map(EngineStandIn::url).toList();
    fleet.submit(0, FleetDocuments.firstNote(engineUrls, fleet.service.url()));
    fleet.awaitInForce("first");
    for (RouterProcess router : fleet.routers) {
      fleet.awaitEngines(router, "LIVE", ENGINES);
    }
    return fleet;
  }

  private void startRouters() throws Exception {
    Path folder = Files.createTempDirectory("coltsfootvale-fleet");
    List<Integer> ports = freePorts(2 * ROUTERS);
    List<Integer> peerPorts = ports.subList(ROUTERS, 2 * ROUTERS);
    for (int i = 0; i < ROUTERS; i++) {
      Path settings = folder.resolve("router-" + i + ".yaml");
      Files.writeString(
          settings, FleetDocuments.settings(i, ports.get(i), peerPorts, platform.url()));
      routers.add(RouterProcess.start("router-" + i, ports.get(i), settings));
    }
    for (RouterProcess router : routers) {
      awaitReady(router);
    }
    for (RouterProcess router : routers) {
      await(
          router.id() + " observes all routers as live",
          () -> countLiveness(state(router).path("routers"), "LIVE") == ROUTERS);
    }
  }

  /** Waits until the health check of a router succeeds. */
  void awaitReady(RouterProcess router) throws Exception {
    await(router.id() + " is ready", () -> get(router, "/health").status() == 200);
  }

  /** Waits until a router observes a number of engines in a liveness state. */
  void awaitEngines(RouterProcess router, String liveness, int count) throws Exception {
    await(
        router.id() + " observes " + count + " engines " + liveness,
        () -> countLiveness(state(router).path("engines"), liveness) == count);
  }

  /** Submits a release note to a router. */
  HttpReply submit(int router, String note) {
    return send(
        operator(routers.get(router), "/v1/notes").post(RequestBody.create(note, TEXT)).build());
  }

  /** Waits until every running router reports a note as in force everywhere. */
  void awaitInForce(String note) throws Exception {
    for (RouterProcess router : routers) {
      if (router.isAlive()) {
        await(
            note + " is reported by " + router.id() + " as in force everywhere",
            () -> noteStatus(router, note).path("inForceEverywhere").asBoolean());
      }
    }
  }

  /** Returns the status of a note from a router. */
  JsonNode noteStatus(RouterProcess router, String note) {
    return send(operator(router, "/v1/notes/" + note + "/status").build()).json();
  }

  /** Returns the state dump of a router. */
  JsonNode state(RouterProcess router) {
    return send(operator(router, "/state").build()).json();
  }

  /** Sends a GET request without credentials. */
  HttpReply get(RouterProcess router, String path) {
    return send(new Request.Builder().url(router.url() + path).build());
  }

  /** Marks an engine as leaving in the platform's host list. */
  void markEngineLeaving(int engine) {
    markLeaving("engine-" + engine, "engine", engines.get(engine).port());
  }

  /** Marks the replica of the plain service as leaving in the platform's host list. */
  void markServiceLeaving() {
    markLeaving("sightings-1", "service", service.port());
  }

  private void markLeaving(String id, String kind, int port) {
    String hosts =
        """
        {"hosts":[{"id":"%s","address":"127.0.0.1:%d","kind":"%s",
         "dataCentre":"dc-0","state":"leaving"}]}
        """
            .formatted(id, port, kind);
    Request request =
        new Request.Builder()
            .url(platform.url() + "/hosts")
            .post(RequestBody.create(hosts, MediaType.get("application/json")))
            .build();
    send(request);
  }

  /** Returns the number of requests that an engine has accepted. */
  int acceptedRequests(int engine) {
    Request request = new Request.Builder().url(engines.get(engine).url() + "/counts").build();
    return send(request).json().path("totals").path("accepted").asInt();
  }

  /** Returns a new idempotency key whose home is the router. */
  String newKey(RouterProcess router, int counter) {
    return get(router, "/v1/key-prefix").json().path("keyPrefix").asText() + "." + counter;
  }

  /** Sends the plain service a request that must not be retried. */
  HttpReply sendSighting(RouterProcess router, String key) {
    return send(
        caller(router, "/v1/services/sightings/add")
            .header("Idempotency-Key", key)
            .header("Coltsfootvale-No-Repeat", "true")
            .post(RequestBody.create("a sighting", TEXT))
            .build());
  }

  /** Sends a streaming chat and returns the complete reply. */
  HttpReply sendChat(RouterProcess router, String chat, int answerTokens) {
    String body =
        """
        {"model":"season","stream":true,"max_tokens":%d,
         "messages":[{"role":"user","content":"the diary of %s"}]}
        """
            .formatted(answerTokens, chat);
    return send(
        caller(router, "/v1/chat/completions")
            .header("Coltsfootvale-Chat", chat)
            .post(RequestBody.create(body, MediaType.get("application/json")))
            .build());
  }

  /** Runs a call on a new daemon thread. */
  static <T> CompletableFuture<T> async(Callable<T> call) {
    CompletableFuture<T> result = new CompletableFuture<>();
    Thread thread =
        new Thread(
            () -> {
              try {
                result.complete(call.call());
              } catch (Exception e) {
                result.completeExceptionally(e);
              }
            });
    thread.setDaemon(true);
    thread.start();
    return result;
  }

  /**
   * Polls a condition until it holds.
   *
   * @throws AssertionError if it does not hold within 60 s
   */
  static void await(String description, Callable<Boolean> condition) throws Exception {
    long deadlineNanos = System.nanoTime() + TIMEOUT.toNanos();
    while (!condition.call()) {
      if (System.nanoTime() > deadlineNanos) {
        throw new AssertionError("timed out after 60 s waiting for: " + description);
      }
      Thread.sleep(POLL_MILLIS);
    }
  }

  @Override
  public void close() throws Exception {
    for (RouterProcess router : routers) {
      router.resume();
      router.kill();
    }
    engines.forEach(EngineStandIn::stop);
    service.stop();
    platform.stop();
  }

  private static long countLiveness(JsonNode entries, String liveness) {
    long count = 0;
    for (JsonNode entry : entries) {
      count += entry.path("liveness").asText().equals(liveness) ? 1 : 0;
    }
    return count;
  }

  private static Request.Builder operator(RouterProcess router, String path) {
    return new Request.Builder()
        .url(router.url() + path)
        .header("Authorization", "Bearer " + OPERATOR_TOKEN);
  }

  private static Request.Builder caller(RouterProcess router, String path) {
    return new Request.Builder()
        .url(router.url() + path)
        .header("Authorization", "Bearer " + CALLER_KEY);
  }

  private HttpReply send(Request request) {
    try (Response response = client.newCall(request).execute()) {
      return new HttpReply(response.code(), response.body().string());
    } catch (IOException e) {
      return new HttpReply(0, String.valueOf(e.getMessage()));
    }
  }

  private static List<Integer> freePorts(int count) throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    List<Integer> ports = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
      sockets.add(socket);
      ports.add(socket.getLocalPort());
    }
    for (ServerSocket socket : sockets) {
      socket.close();
    }
    return ports;
  }
}
