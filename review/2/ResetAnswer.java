import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Replicas stream without a length or chunks and reset within their streams. */
public final class ResetAnswer {

  private static final int CONSUMERS = 4;
  private static final int REQUESTS_EACH = 30;

  /** The longest body of a season summary of the site. */
  private static final int BODY_BYTES = 72_000;

  public static void main(String[] args) {
    Deployment.runCase(() -> play(args));
  }

  private static void play(String[] args) throws Exception {
    Path folder = Deployment.folder();
    int broken = 0;
    try (Record record = new Record(Path.of(args[0]));
        Store store = new Store();
        Router router = new Router(folder, "edge-1", "zone-a", store)) {
      store.write("op/config", Deployment.state(7, Deployment.tenants()));
      List<EarlyReplica> replicas = new ArrayList<>();
      for (int i = 1; i <= 4; i++) {
        replicas.add(new EarlyReplica(store, "i-" + i, Deployment.trouble() && i <= 2, record));
      }
      router.start();
      if (!router.awaitReady(15_000)) {
        record.line("the router did not become ready");
        System.exit(2);
      }
      AtomicInteger brokenCount = new AtomicInteger();
      List<Thread> consumers = new ArrayList<>();
      for (int i = 0; i < CONSUMERS; i++) {
        int first = i * REQUESTS_EACH;
        Thread consumer =
            new Thread(
                () -> {
                  for (int request = 0; request < REQUESTS_EACH; request++) {
                    brokenCount.addAndGet(ask(record, router, first + request) ? 1 : 0);
                  }
                });
        consumer.start();
        consumers.add(consumer);
      }
      for (Thread consumer : consumers) {
        consumer.join();
      }
      broken = brokenCount.get();
      for (EarlyReplica replica : replicas) {
        replica.close();
      }
      record.line("streams that ended as complete too early: %d of %d", broken,
          CONSUMERS * REQUESTS_EACH);
    }
    System.exit(broken > 0 ? 3 : 0);
  }

  /** Sends a request; returns whether its stream ended as complete without being whole. */
  private static boolean ask(Record record, Router router, int diary) {
    String id = Deployment.newId();
    String head =
        Deployment.prompt("/summary/2f", id, diary, 15_000)
            .replace("Content-Length: 0", "Content-Length: " + BODY_BYTES);
    try (Caller caller = new Caller(router.front, 14_000)) {
      ByteArrayOutputStream request = new ByteArrayOutputStream();
      request.writeBytes(head.getBytes(StandardCharsets.ISO_8859_1));
      request.write(new byte[BODY_BYTES]);
      caller.send(request.toByteArray());
      Caller.Answer answer = caller.read();
      String body = new String(answer.body(), StandardCharsets.ISO_8859_1);
      StringBuilder whole = new StringBuilder();
      for (int event = 1; event <= EarlyReplica.EVENTS; event++) {
        whole.append(EarlyReplica.event(event));
      }
      boolean wrong =
          answer.status() == 200 && answer.complete() && !body.contentEquals(whole);
      record.line(
          "consumer %s: status %d, Server-Seal '%s', %d events, %s%s",
          id, answer.status(), answer.header("Server-Seal"), body.split("id: ").length - 1,
          answer.complete() ? "ended as complete" : "broken off",
          wrong ? ": NOT THE WHOLE STREAM" : "");
      Thread.sleep(100);
      return wrong;
    } catch (Exception e) {
      record.line("consumer %s: %s", id, e);
      return false;
    }
  }
}
