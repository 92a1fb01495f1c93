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
 * A small fleet: three routers as child processes, and the platform, two engines and one plain
 * service as stand-ins within the test.
 */
final class Fleet implements AutoCloseable {

  static final String OPERATOR = "operator-token";
  static final String CALLER_KEY = "key-of-reserve";

  private static final int ROUTERS = 3;
  private static final int ENGINES = 2;
  private static final Duration PATIENCE = Duration.ofSeconds(60);
  private static final long POLL_MILLIS = 50;
  private static final MediaType TEXT = MediaType.get("text/plain");

  final PlatformStandIn platform;
  final List<EngineStandIn> engines = new ArrayList<>();
  final ServiceStandIn service;
  final List<RouterProcess> routers = new ArrayList<>();

  private final OkHttpClient client =
      new OkHttpClient.Builder()
          .retryOnConnectionFailure(false)
          .readTimeout(PATIENCE)
          .callTimeout(PATIENCE)
          .build();

  private Fleet(double engineTimeScale, long serviceMillis) {
    PlatformOptions options = PlatformOptions.onPort(0).withHostsLagMillis(100);
    platform = new PlatformStandIn(options, InstantSource.system());
    for (int i = 0; i < ENGINES; i++) {
      EngineOptions engine = EngineOptions.of("engine-" + i, 0).with(true, engineTimeScale);
      engines.add(new EngineStandIn(engine, InstantSource.system()));
    }
    service = new ServiceStandIn("sightings-1", 0, serviceMillis);
  }

  /**
   * Starts a fleet with one release note in force.
   *
   * @param engineTimeScale how much faster than the clock the engines work
   * @param serviceMillis how long a request takes at the service
   */
  static Fleet start(double engineTimeScale, long serviceMillis) throws Exception {
    Fleet fleet = new Fleet(engineTimeScale, serviceMillis);
    fleet.platform.start();
    fleet.engines.forEach(EngineStandIn::start);
    fleet.service.start();
    fleet.startRouters();
    List<String> engineUrls = fleet.engines.stream().map(EngineStandIn::url).toList();
    fleet.submit(0, FleetTexts.firstNote(engineUrls, fleet.service.url()));
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
      Files.writeString(settings, FleetTexts.settings(i, ports.get(i), peerPorts, platform.url()));
      routers.add(RouterProcess.start("router-" + i, ports.get(i), settings));
    }
    for (RouterProcess router : routers) {
      awaitReady(router);
    }
    for (RouterProcess router : routers) {
      await(
          router.id() + " knows the others",
          () -> countLiveness(state(router).path("routers"), "LIVE") == ROUTERS);
    }
  }

  /** Waits until a router may serve. */
  void awaitReady(RouterProcess router) throws Exception {
    await(router.id() + " is ready", () -> get(router, "/health").status() == 200);
  }

  /** Waits until a router sees a number of engines in a state. */
  void awaitEngines(RouterProcess router, String liveness, int count) throws Exception {
    await(
        router.id() + " sees " + count + " engines " + liveness,
        () -> countLiveness(state(router).path("engines"), liveness) == count);
  }

  /** Submits a release note to a router. */
  HttpReply submit(int router, String note) {
    return send(
        operator(routers.get(router), "/v1/notes").post(RequestBody.create(note, TEXT)).build());
  }

  /** Waits until a note is in force on every router that runs. */
  void awaitInForce(String note) throws Exception {
    for (RouterProcess router : routers) {
      if (router.isAlive()) {
        await(
            note + " is in force as " + router.id() + " sees it",
            () -> status(router, note).path("inForceEverywhere").asBoolean());
      }
    }
  }

  /** Returns the status of a note as a router sees it. */
  JsonNode status(RouterProcess router, String note) {
    return send(operator(router, "/v1/notes/" + note + "/status").build()).json();
  }

  /** Returns a router's state dump. */
  JsonNode state(RouterProcess router) {
    return send(operator(router, "/state").build()).json();
  }

  /** Sends a GET without credentials. */
  HttpReply get(RouterProcess router, String path) {
    return send(new Request.Builder().url(router.url() + path).build());
  }

  /** Makes the platform's host list call an engine leaving. */
  void listEngineLeaving(int engine) {
    listLeaving("engine-" + engine, "engine", engines.get(engine).port());
  }

  /** Makes the platform's host list call the replica of the plain service leaving. */
  void listServiceLeaving() {
    listLeaving("sightings-1", "service", service.port());
  }

  private void listLeaving(String id, String kind, int port) {
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

  /** Returns how many requests an engine has accepted. */
  int acceptedBy(int engine) {
    Request request = new Request.Builder().url(engines.get(engine).url() + "/counts").build();
    return send(request).json().path("totals").path("accepted").asInt();
  }

  /** Returns a fresh key whose home is the router. */
  String freshKey(RouterProcess router, int counter) {
    return get(router, "/v1/key-prefix").json().path("keyPrefix").asText() + "." + counter;
  }

  /** Sends a request that must not be repeated to the plain service. */
  HttpReply sighting(RouterProcess router, String key) {
    return send(
        caller(router, "/v1/services/sightings/add")
            .header("Idempotency-Key", key)
            .header("Coltsfootvale-No-Repeat", "true")
            .post(RequestBody.create("a sighting", TEXT))
            .build());
  }

  /** Sends a streamed chat and returns the whole body. */
  HttpReply chat(RouterProcess router, String chat, int answerTokens) {
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

  /** Runs a call on another thread. */
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

  /** Waits until a condition holds. */
  static void await(String what, Callable<Boolean> condition) throws Exception {
    long deadlineNanos = System.nanoTime() + PATIENCE.toNanos();
    while (!condition.call()) {
      if (System.nanoTime() > deadlineNanos) {
        throw new AssertionError("waited in vain: " + what);
      }
      Thread.sleep(POLL_MILLIS);
    }
  }

  @Override
  public void close() throws Exception {
    for (RouterProcess router : routers) {
      router.thaw();
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
        .header("Authorization", "Bearer " + OPERATOR);
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
