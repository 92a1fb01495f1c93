import com.sun.net.httpserver.HttpServer;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Another writer's entry under servers/ lacks most fields and names an HTTP server of its own. */
public final class ForeignEntry {

  private static final int REQUESTS = 400;

  public static void main(String[] args) {
    Deployment.runCase(() -> play(args));
  }

  private static void play(String[] args) throws Exception {
    Path folder = Deployment.folder();
    AtomicInteger strayed = new AtomicInteger();
    int denied = 0;
    try (Record record = new Record(Path.of(args[0]));
        Store store = new Store();
        Router router = new Router(folder, "edge-1", "zone-a", store)) {
      store.write("op/config", Deployment.state(7, Deployment.tenants()));
      List<Replica> replicas = new ArrayList<>();
      for (int i = 1; i <= 3; i++) {
        replicas.add(
            new Replica(
                store, "app", "i-" + i, "zone-a", 6,
                (request, connection, out) -> {
                  Thread.sleep(30);
                  Replica.whole(request, out, "bird list");
                }));
      }
      HttpServer foreign = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 64);
      foreign.createContext(
          "/",
          call -> {
            call.getRequestBody().readAllBytes();
            if (strayed.incrementAndGet() <= 5) {
              record.line(
                  "the foreign server gets %s %s, Attempt-Id %s, Tenant %s",
                  call.getRequestMethod(), call.getRequestURI(),
                  call.getRequestHeaders().getFirst("Attempt-Id"),
                  call.getRequestHeaders().getFirst("Tenant"));
            }
            byte[] text = "no such page\n".getBytes(StandardCharsets.UTF_8);
            call.sendResponseHeaders(404, text.length);
            call.getResponseBody().write(text);
            call.close();
          });
      foreign.start();
      router.start();
      if (!router.awaitReady(15_000)) {
        record.line("the router did not become ready");
        System.exit(2);
      }
      if (Deployment.trouble()) {
        String entry =
            "{\"service\":\"app\",\"address\":\"127.0.0.1:" + foreign.getAddress().getPort()
                + "\",\"zone\":\"zone-a\",\"state\":\"ready\"}";
        store.write("servers/inventory-1", entry);
        record.line("another writer writes servers/inventory-1: %s", entry);
      }
      Thread.sleep(1_000);
      int ok = 0;
      try (Caller caller = new Caller(router.front, 5_000)) {
        for (int i = 0; i < REQUESTS; i++) {
          String id = Deployment.newId();
          String request =
              i % 2 == 0
                  ? Deployment.plain("POST", "/submit/2f", id, Deployment.KEY, 2_500)
                  : Deployment.plain("GET", "/read/2f", id, Deployment.KEY, 2_500);
          caller.send(request);
          Caller.Answer answer = caller.read();
          ok += answer.status() == 200 ? 1 : 0;
          if (answer.status() != 200) {
            denied += answer.status() == 404 ? 1 : 0;
            record.line(
                "consumer %s, %s: status %d, Server-Seal '%s', '%s'",
                id, request.substring(0, request.indexOf(" HTTP")), answer.status(),
                answer.header("Server-Seal"),
                new String(answer.body(), StandardCharsets.UTF_8).strip());
          }
        }
      }
      for (Replica replica : replicas) {
        replica.close();
      }
      foreign.stop(0);
      record.line(
          "of %d proper requests: %d answered 200, %d answered 404; %d reached the foreign server",
          REQUESTS, ok, denied, strayed.get());
    }
    System.exit(denied > 5 + REQUESTS / 500 ? 3 : 0);
  }
}
