import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A desired state takes away the last tenant; requests with keys then still have to be denied. */
public final class NoTenants {

  public static void main(String[] args) {
    Deployment.runCase(() -> play(args));
  }

  private static void play(String[] args) throws Exception {
    Path folder = Deployment.folder();
    int run = 0;
    try (Record record = new Record(Path.of(args[0]));
        Store store = new Store();
        Router router = new Router(folder, "edge-1", "zone-a", store)) {
      store.write("op/config", Deployment.state(7, Deployment.tenants()));
      List<Replica> replicas = new ArrayList<>();
      for (int i = 1; i <= 3; i++) {
        replicas.add(
            new Replica(
                store, "app", "i-" + i, "zone-a", 6,
                (request, connection, out) -> Replica.whole(request, out, "bird list")));
      }
      router.start();
      if (!router.awaitReady(15_000)) {
        record.line("the router did not become ready");
        System.exit(2);
      }
      String never = "never-held-by-any-version";
      ask(record, router, "before, key of the tenant", Deployment.KEY);
      ask(record, router, "before, key that no version ever held", never);
      int before = count(replicas);
      if (Deployment.trouble()) {
        store.write("op/config", Deployment.state(8, "[]"));
        record.line("acknowledged: version 8 with \"tenants\":[]");
      } else {
        store.write("op/config", Deployment.state(8, Deployment.tenants()));
        record.line("acknowledged: version 8 with the same tenant");
      }
      Thread.sleep(3_000);
      for (int i = 0; i < 5; i++) {
        ask(record, router, "after, key that no version ever held", never);
      }
      for (Replica replica : replicas) {
        for (Replica.Request request : replica.run) {
          record.line(
              "%s ran %s, id %s, Tenant '%s'",
              replica.id, request.line(), request.id(), request.header("Tenant"));
        }
        replica.close();
      }
      run = count(replicas) - before;
      record.line("requests that ran with a key that no desired state ever held: %d", run);
    }
    System.exit(run > 0 ? 3 : 0);
  }

  private static int count(List<Replica> replicas) {
    return replicas.stream().mapToInt(replica -> replica.run.size()).sum();
  }

  private static void ask(Record record, Router router, String what, String key) throws Exception {
    String id = Deployment.newId();
    try (Caller caller = new Caller(router.front, 5_000)) {
      caller.send(Deployment.plain("POST", "/submit/2f", id, key, 2_500));
      Caller.Answer answer = caller.read();
      record.line(
          "%s: POST /submit/2f, id %s, Bearer %s -> %d '%s'",
          what, id, key, answer.status(), new String(answer.body()));
    }
  }
}
