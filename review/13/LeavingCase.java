import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * A replica leaves without a report: its entry is removed, and an answer that the router passes on
 * says so. Then the store executes an earlier beat of it whose answer was lost.
 */
final class LeavingCase extends Case {

  private static final long DRAIN_MILLIS = 2_000;

  /** The beat is sent this long before the removal, and executed 5 s late (of 1 to 6 s). */
  private static final long BEAT_BEFORE_MILLIS = 1_000;

  private static final long EXECUTED_AFTER_MILLIS = 5_000;

  /** The replica serves for drainMs after the ack and a little longer. */
  private static final long SERVES_ON_MILLIS = 4_500;

  private static final long LIMIT_MILLIS = 15_000;

  LeavingCase(Path caseFolder) throws IOException {
    super(caseFolder);
  }

  public static void main(String[] arguments) throws IOException {
    run(new LeavingCase(Path.of(arguments[0])));
  }

  @Override
  int play() throws Exception {
    store.write("op/config", STATE.formatted(1));
    List<Replica> replicas = new ArrayList<>();
    for (int i = 1; i <= 2; i++) {
      Replica replica = own(new Replica("i-" + i, "engine", "brescia", 64, record, store));
      replica.longPromptMillis = 1_200;
      replicas.add(replica);
    }
    List<Router> routers = new ArrayList<>();
    for (int i = 1; i <= 3; i++) {
      Router router = own(new Router("edge-brescia-" + i, "brescia", store.port(), folder));
      routers.add(router);
      router.start();
    }
    for (Router router : routers) {
      if (!router.awaitReady(20_000)) {
        record.add(router.name + " is not ready");
        return 2;
      }
    }
    Daemons.sleep(4_000);
    Replica leaving = replicas.get(0);
    List<Client.Result> results = Collections.synchronizedList(new ArrayList<>());
    long start = record.now();
    Daemons.start(() -> consume(routers.get(0), start + 16_000, results));
    Daemons.sleep(2_000);
    long beat = record.now();
    if (trouble) {
      record.add("the answer to beat " + leaving.beatExecutedLater(EXECUTED_AFTER_MILLIS)
          + " of " + leaving.id + " is lost");
    }
    Daemons.sleep(beat + BEAT_BEFORE_MILLIS - record.now());
    awaitFreshRequest(leaving);
    long removed = leaving.unregister();
    record.add("the store has accepted that the entry of " + leaving.id + " is removed");
    Daemons.start(
        () -> {
          while (true) {
            Daemons.sleep(200);
            leaving.expire();
          }
        });
    Daemons.sleep(removed + SERVES_ON_MILLIS - record.now());
    record.add(leaving.id + " exits");
    leaving.close();
    Daemons.sleep(start + 20_000 - record.now());
    return judge(leaving, List.copyOf(results));
  }

  /** Waits until the replica has just begun the only request whose answer has not begun. */
  private void awaitFreshRequest(Replica replica) {
    long giveUp = record.now() + 3_000;
    while (record.now() < giveUp) {
      long now = record.now();
      long waiting = replica.runs.stream().filter(run -> now - run.atMillis() < 1_250).count();
      boolean fresh = replica.runs.stream().anyMatch(run -> now - run.atMillis() < 300);
      if (waiting == 1 && fresh) {
        return;
      }
      Daemons.sleep(10);
    }
  }

  private int judge(Replica leaving, List<Client.Result> results) {
    long told =
        results.stream().filter(r -> r.leaving).mapToLong(r -> r.headMillis).min().orElse(-1);
    if (told < 0) {
      record.add("no answer said that the replica leaves");
      return 2;
    }
    record.add("the router passed on an answer with Server-Leaving at " + told);
    int late = 0;
    int lost = 0;
    for (Client.Result result : results) {
      boolean reached = leaving.runs.stream().anyMatch(run -> run.id().equals(result.id));
      if (reached && result.sentMillis > told + DRAIN_MILLIS) {
        late++;
        lost += result.status == 200 && result.complete ? 0 : 1;
        record.add("sent " + (result.sentMillis - told) + " ms after that answer: " + result);
      }
    }
    record.add("requests " + results.size() + ", sent later than drainMs and run by the replica "
        + late + ", of these without a complete answer " + lost);
    return late > 0 ? 1 : 0;
  }

  private void consume(Router router, long end, List<Client.Result> results) {
    for (int n = 1; record.now() < end; n++) {
      int number = n;
      Daemons.start(
          () -> {
            Client.Result result =
                Client.send(record, router.front, String.format("%016x", number), "POST",
                    "/summary/1", "key-of-org", "Model: m\r\nToken-Counts: 11800,100\r\n"
                        + "Prompt-Prefix: 3b1f0000:10512," + String.format("%08x", number) + ":1288\r\n",
                    LIMIT_MILLIS);
            record.add("client " + result);
            results.add(result);
          });
      Daemons.sleep(400);
    }
  }
}
