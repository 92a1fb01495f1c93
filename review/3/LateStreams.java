import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The two routers of a deployment are restarted in turn, while consumers ask for 6.4 s streams. */
final class LateStreams {

  /** The longest season summary of the site has 160 events; the longest pause allowed is 800 ms. */
  private static final int EVENTS = 160;

  private static final int EVENT_MILLIS = 40;
  /** The gap of the site's rolling restarts. */
  private static final int ROLL_GAP_MILLIS = 1_000;

  /** The delay between the end of a process and its next start. */
  private static final int RESTART_DELAY_MILLIS = 1_000;

  private static final int REQUEST_INTERVAL_MILLIS = 50;
  private static final long LENGTH_MILLIS = 4_000;

  /** The rule excuses the cut of requests that were sent up to 3 s after SIGTERM. */
  private static final double EXCUSED_S = 3.0;

  private static final Pattern ADDRESS = Pattern.compile("127\\.0\\.0\\.1:([0-9]+)");

  private LateStreams() {}

  /** Returns the number of requests that count as lost. */
  static int play(Record record) throws Exception {
    Path folder = Deployment.folder();
    AtomicInteger lost = new AtomicInteger();
    try (Store store = new Store();
        Router one = new Router(folder, "edge-1", "zone-a", store);
        Router two = new Router(folder, "edge-2", "zone-b", store)) {
      store.write("op/config", Deployment.state(7, Deployment.tenants()));
      List<Replica> replicas = new ArrayList<>();
      for (int i = 1; i <= 8; i++) {
        replicas.add(
            new Replica(
                store, "llm", "m-" + i, "zone-a", 64,
                (request, connection, out) -> stream(request, out)));
      }
      one.start();
      two.start();
      if (!one.awaitReady(15_000) || !two.awaitReady(15_000)) {
        record.line("the routers did not become ready");
        System.exit(2);
      }
      Thread.sleep(1_000);
      List<Integer> fronts = resolve(record, one, two);
      if (fronts == null || fronts.isEmpty()) {
        record.line("the directory lists no router");
        System.exit(2);
      }
      if (Deployment.trouble()) {
        restart(record, one);
        Thread.sleep(ROLL_GAP_MILLIS);
        restart(record, two);
      }
      // Consumers whose response is of this moment.
      List<Integer> latest = resolve(record, one, two);
      fronts = latest == null ? fronts : latest;
      long begun = System.nanoTime();
      List<Thread> consumers = new ArrayList<>();
      int count = 0;
      for (long atMillis = 0; atMillis < LENGTH_MILLIS; atMillis += REQUEST_INTERVAL_MILLIS) {
        Thread.sleep(Math.max(0, atMillis - (System.nanoTime() - begun) / 1_000_000));
        if (atMillis % 1_000 == 0) {
          latest = resolve(record, one, two);
          // Consumers that cannot obtain a new response keep the old one.
          fronts = latest == null ? fronts : latest;
        }
        Integer front = fronts.get(count % fronts.size());
        int diary = count++;
        Thread consumer =
            new Thread(
                () -> lost.addAndGet(ask(record, front, diary, begun) ? 1 : 0));
        consumer.start();
        consumers.add(consumer);
      }
      for (Thread consumer : consumers) {
        consumer.join();
      }
      for (Replica replica : replicas) {
        replica.close();
      }
    }
    record.line("streams cut that were sent later than %.1f s after SIGTERM: %d", EXCUSED_S, lost.get());
    return lost.get();
  }

  /** Stops a router and starts it again a short time after it has ended, as the platform does. */
  private static void restart(Record record, Router router) {
    record.line("SIGTERM to %s", router.name);
    long begun = System.nanoTime();
    router.terminate();
    router
        .process
        .onExit()
        .thenRun(
            () -> {
              record.line(
                  "%s has ended %.2f s after SIGTERM", router.name,
                  (System.nanoTime() - begun) / 1e9);
              try {
                Thread.sleep(RESTART_DELAY_MILLIS);
                router.start();
                record.line("%s has been started again", router.name);
              } catch (IOException | InterruptedException e) {
                record.line("%s: %s", router.name, e);
              }
            });
  }

  /** Returns the ports that a directory lists, or null if none answers with a list. */
  private static List<Integer> resolve(Record record, Router... routers) {
    for (Router router : routers) {
      try (Caller caller = new Caller(router.directory, 1_000)) {
        caller.send(
            "GET /resolve?name=birds.example&region=region&zone=zone-a HTTP/1.1\r\nHost: d\r\n\r\n");
        Caller.Answer answer = caller.read();
        String body = new String(answer.body(), StandardCharsets.UTF_8);
        record.line("directory: %d %s", answer.status(), body);
        if (answer.status() == 200) {
          List<Integer> ports = new ArrayList<>();
          Matcher address = ADDRESS.matcher(body);
          while (address.find()) {
            ports.add(Integer.parseInt(address.group(1)));
          }
          return ports;
        }
      } catch (IOException e) {
        record.line("directory: %s", e.getMessage());
      }
    }
    return null;
  }

  private static boolean ask(Record record, int front, int diary, long begun) {
    String id = Deployment.newId();
    try (Caller caller = new Caller(front, 14_000)) {
      caller.send(Deployment.prompt("/summary/2f", id, diary, 15_000));
      double sentS = (System.nanoTime() - begun) / 1e9;
      Caller.Answer answer = caller.read();
      double endedS = (System.nanoTime() - begun) / 1e9;
      boolean cut = answer.status() == 200 && !answer.complete();
      boolean counts = cut && sentS > EXCUSED_S;
      record.line(
          "consumer %s: sent at %.2f s, status %d, %d of %d events, %s at %.2f s%s",
          id, sentS, answer.status(),
          new String(answer.body(), StandardCharsets.UTF_8).split("id: ").length - 1, EVENTS,
          cut ? "CUT" : "complete", endedS, counts ? ": LOST" : "");
      return counts;
    } catch (IOException e) {
      record.line("consumer %s: %s", id, e.getMessage());
      return false;
    }
  }

  private static void stream(Replica.Request request, OutputStream out) throws Exception {
    Replica.write(
        out,
        Replica.head(request, "200 OK")
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int event = 1; event <= EVENTS; event++) {
      Replica.chunk(out, "id: " + event + "\ndata: " + "diary ".repeat(9) + "\n\n");
      Thread.sleep(EVENT_MILLIS);
    }
    Replica.write(out, "0\r\n\r\n");
  }
}
