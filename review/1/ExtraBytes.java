import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of three replicas adds bytes to 3 in 100 of its answers: the head of a refusal, broken off. It
 * goes on on the same connection: it runs the next request and answers it whole.
 */
public final class ExtraBytes {

  private static final int CONSUMERS = 4;
  private static final long LENGTH_MILLIS = 20_000;
  private static final int SPOILT_EVERY = 33;

  /** The refusal that PROTOCOL.md describes, broken off within a header. */
  private static final String EXTRA =
      "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRetry-After: ";

  public static void main(String[] args) {
    Deployment.runCase(() -> play(args));
  }

  private static void play(String[] args) throws Exception {
    Path folder = Deployment.folder();
    Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    Map<String, String> outcomes = new ConcurrentHashMap<>();
    int refusedAndRan = 0;
    int twice = 0;
    try (Record record = new Record(Path.of(args[0]));
        Store store = new Store();
        Router router = new Router(folder, "edge-1", "zone-a", store)) {
      store.write("op/config", Deployment.state(7, Deployment.tenants()));
      AtomicInteger answers = new AtomicInteger();
      List<Replica> replicas = new ArrayList<>();
      for (int i = 1; i <= 3; i++) {
        String id = "i-" + i;
        boolean faulty = i == 1 && Deployment.trouble();
        replicas.add(
            new Replica(
                store, "app", id, "zone-a", 6,
                (request, connection, out) -> {
                  int run =
                      runs.computeIfAbsent(request.id(), absent -> new AtomicInteger())
                          .incrementAndGet();
                  if (run > 1) {
                    record.line("%s runs %s, id %s, AGAIN", id, request.line(), request.id());
                  }
                  Thread.sleep(30);
                  String answer =
                      Replica.head(request, "200 OK") + "Content-Length: 8\r\n\r\naccepted";
                  boolean spoilt = faulty && answers.incrementAndGet() % SPOILT_EVERY == 0;
                  if (spoilt) {
                    record.line(
                        "%s adds %d bytes after its whole answer to %s",
                        id, EXTRA.length(), request.id());
                  }
                  Replica.write(out, spoilt ? answer + EXTRA : answer);
                }));
      }
      router.start();
      if (!router.awaitReady(15_000)) {
        record.line("the router did not become ready");
        System.exit(2);
      }
      long end = System.currentTimeMillis() + LENGTH_MILLIS;
      List<Thread> consumers = new ArrayList<>();
      for (int i = 0; i < CONSUMERS; i++) {
        Thread consumer = new Thread(() -> consume(router, end, outcomes));
        consumer.start();
        consumers.add(consumer);
      }
      for (Thread consumer : consumers) {
        consumer.join();
      }
      Thread.sleep(500);
      for (Map.Entry<String, String> sent : outcomes.entrySet()) {
        AtomicInteger ran = runs.getOrDefault(sent.getKey(), new AtomicInteger());
        boolean refused = sent.getValue().endsWith(" 503") && ran.get() > 0;
        if (refused || ran.get() > 1) {
          record.line(
              "id %s, %s: ran %d times%s",
              sent.getKey(), sent.getValue(), ran.get(), refused ? ", REFUSED though it ran" : "");
        }
        refusedAndRan += refused ? 1 : 0;
        twice += ran.get() > 1 ? 1 : 0;
      }
      for (Replica replica : replicas) {
        record.line("%s ran %d requests", replica.id, replica.run.size());
        replica.close();
      }
      record.line(
          "of %d requests: %d answered 503 though they ran, %d ran more than once",
          outcomes.size(), refusedAndRan, twice);
    }
    System.exit(refusedAndRan + twice > 0 ? 3 : 0);
  }

  private static void consume(Router router, long end, Map<String, String> outcomes) {
    int count = 0;
    while (System.currentTimeMillis() < end) {
      try (Caller caller = new Caller(router.front, 5_000)) {
        boolean open = true;
        while (open && System.currentTimeMillis() < end) {
          String id = Deployment.newId();
          String path = ++count % 2 == 0 ? "/submit/2f" : "/order/2f";
          caller.send(Deployment.plain("POST", path, id, Deployment.KEY, 2_500));
          Caller.Answer answer = caller.read();
          outcomes.put(id, "POST " + path + " -> " + answer.status());
          open = answer.complete() && !answer.header("Connection").equals("close");
          Thread.sleep(20);
        }
      } catch (Exception e) {
        // The next request goes out on a new connection.
      }
    }
  }
}
