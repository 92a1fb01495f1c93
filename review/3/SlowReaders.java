import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** A router gets SIGTERM while consumers on slow links still read answers it has accepted. */
final class SlowReaders {

  private static final int CONSUMERS = 4;
  private static final int BODY_BYTES = 800_000;
  private static final int BYTES_PER_SECOND = 120_000;

  private SlowReaders() {}

  /** Returns the number of answers that were cut. */
  static int play(Record record) throws Exception {
    Path folder = Deployment.folder();
    String body = "0123456789".repeat(BODY_BYTES / 10);
    List<String> broken = new ArrayList<>();
    try (Store store = new Store();
        Router router = new Router(folder, "edge-1", "zone-a", store)) {
      store.write("op/config", Deployment.state(7, Deployment.tenants()));
      Replica.Behaviour whole =
          (request, connection, out) -> {
            Replica.whole(request, out, body);
            record.line("replica has answered %s completely", request.id());
          };
      List<Replica> replicas = new ArrayList<>();
      for (int i = 1; i <= 3; i++) {
        replicas.add(new Replica(store, "app", "i-" + i, "zone-a", 6, whole));
      }
      router.start();
      if (!router.awaitReady(15_000)) {
        record.line("the router did not become ready");
        System.exit(2);
      }
      CountDownLatch sent = new CountDownLatch(CONSUMERS);
      List<Thread> consumers = new ArrayList<>();
      for (int i = 0; i < CONSUMERS; i++) {
        Thread consumer =
            new Thread(
                () -> {
                  String id = Deployment.newId();
                  try (Caller caller = new Caller(router.front, 14_000, 4_096)) {
                    long begun = System.nanoTime();
                    caller.send(
                        Deployment.plain("GET", "/export/2f", id, Deployment.KEY, 15_000));
                    record.line("consumer sends GET /export/2f, id %s, time limit 15000 ms", id);
                    sent.countDown();
                    Caller.Answer answer = caller.read(BYTES_PER_SECOND);
                    record.line(
                        "consumer %s: status %d, Content-Length %s, %d bytes, %s after %.2f s",
                        id, answer.status(), answer.header("Content-Length"),
                        answer.body().length, answer.complete() ? "complete" : "CUT",
                        (System.nanoTime() - begun) / 1e9);
                    if (answer.status() == 200 && !answer.complete()) {
                      synchronized (broken) {
                        broken.add(id);
                      }
                    }
                  } catch (Exception e) {
                    record.line("consumer %s: %s", id, e);
                  }
                });
        consumer.start();
        consumers.add(consumer);
      }
      sent.await(5, TimeUnit.SECONDS);
      Thread.sleep(200);
      if (Deployment.trouble()) {
        record.line("SIGTERM to the router");
        long begun = System.nanoTime();
        router.terminate();
        router.process.onExit().thenRun(
            () ->
                record.line(
                    "the router process has ended %.2f s after SIGTERM (graceS is 8)",
                    (System.nanoTime() - begun) / 1e9));
      }
      for (Thread consumer : consumers) {
        consumer.join(30_000);
      }
      for (Replica replica : replicas) {
        replica.close();
      }
      record.line("answers cut for slow readers: %d of %d", broken.size(), CONSUMERS);
    }
    return broken.size();
  }
}
