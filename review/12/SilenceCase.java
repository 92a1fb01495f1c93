import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** A router gets SIGTERM while streams that it has taken are preempted at a replica. */
final class SilenceCase extends Case {

  private static final int ROUTERS = 6;
  private static final int REPLICAS = 2;
  private static final int STREAMS = 110;
  private static final int LONG_PROMPTS = 34;
  private static final long GRACE_MILLIS = 8_000;
  private static final long LIMIT_MILLIS = 12_000;

  SilenceCase(Path caseFolder) throws IOException {
    super(caseFolder);
  }

  public static void main(String[] arguments) throws IOException {
    run(new SilenceCase(Path.of(arguments[0])));
  }

  @Override
  int play() throws Exception {
    store.write("op/config", STATE.formatted(1));
    List<Replica> replicas = new ArrayList<>();
    for (int i = 1; i <= REPLICAS; i++) {
      replicas.add(own(new Replica("i-" + i, "engine", "brescia", 64, record, store)));
    }
    List<Router> routers = new ArrayList<>();
    for (int i = 1; i <= ROUTERS; i++) {
      Router router = own(new Router("edge-brescia-" + i, "brescia", store.port(), folder));
      routers.add(router);
      router.start();
    }
    for (Router router : routers) {
      if (!router.awaitReady(30_000)) {
        record.add(router.name + " is not ready");
        return 2;
      }
    }
    Daemons.sleep(5_000);
    List<Client.Result> results = Collections.synchronizedList(new ArrayList<>());
    List<Client.Result> longResults = Collections.synchronizedList(new ArrayList<>());
    for (int i = 1; i <= STREAMS; i++) {
      ask(routers.get(0), i, "/stream/1", "key-of-org", "1000,300",
          String.format("%08x:700,%08x:300", 0x5c1e0000 + i % 40, 0x7c1e0000 + i), results);
      Daemons.sleep(30);
    }
    Daemons.sleep(300);
    long terminated = record.now();
    if (trouble) {
      record.add("SIGTERM to " + routers.get(0).name);
      routers.get(0).signal("TERM");
    }
    Daemons.sleep(200);
    for (int i = 1; i <= LONG_PROMPTS; i++) {
      ask(routers.get(1 + i % (ROUTERS - 1)), 1000 + i, "/summary/1", "key-of-urgent", "31000,100",
          String.format("3b1f0000:30000,%08x:1000", 0x6c1e0000 + i), longResults);
      Daemons.sleep(35);
    }
    Daemons.sleep(terminated + GRACE_MILLIS + 1_000 - record.now());
    int cut = 0;
    int refused = 0;
    for (Client.Result result : List.copyOf(results)) {
      boolean passedOn =
          replicas.stream().flatMap(r -> r.runs.stream()).anyMatch(run -> run.id().equals(result.id));
      if (result.status == 200 && !result.complete && passedOn
          && result.endedMillis < result.sentMillis + LIMIT_MILLIS) {
        cut++;
        record.add("cut: " + result + " after " + (result.endedMillis - result.sentMillis) + " ms");
      } else if (result.status != 200) {
        refused++;
      }
    }
    long served = longResults.stream().filter(result -> result.complete && result.status == 200).count();
    record.add("streams " + results.size() + ", cut by the router " + cut + ", without a 200 " + refused
        + "; long prompts served " + served);
    if (results.size() < STREAMS) {
      return 2;
    }
    return trouble && cut > 0 ? 1 : 0;
  }

  private void ask(
      Router router, int number, String path, String key, String tokens, String prefix,
      List<Client.Result> results) {
    Daemons.start(
        () -> {
          Client.Result result =
              Client.send(record, router.front, String.format("%016x", number), "POST", path, key,
                  "Model: m\r\nToken-Counts: " + tokens + "\r\nPrompt-Prefix: " + prefix + "\r\n",
                  LIMIT_MILLIS);
          record.add("client " + result);
          results.add(result);
        });
  }
}
