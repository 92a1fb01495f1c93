package review;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A desired state adds two tenants whose names differ in a letter outside ISO 8859-1. */
public final class TenantNames {

  private static final int REQUESTS = 10;
  private static final String[] KEYS = {"hu1ncltfzs989anu6wsj", "hu2nasnmgkcuyj8pjbvk"};
  private static final String[] NAMES = {"gy\u0151r", "gy\u0171r"};
  private static final String[] PLAIN_NAMES = {"gyoer", "gyuer"};

  private TenantNames() {}

  public static void main(String[] arguments) {
    Tasks.main(arguments[0], TenantNames::play);
  }

  private static int play(Record record, boolean trouble) throws Exception {
    String[] names = trouble ? NAMES : PLAIN_NAMES;
    Map<String, String> ran = new ConcurrentHashMap<>();
    try (Deployment deployment = new Deployment()) {
      deployment.store.write("op/config", Deployment.desiredState(1));
      deployment.startRouters(2, () -> addReplicas(deployment, ran));
      String added = "";
      for (int i = 0; i < names.length; i++) {
        added += ",{\"name\":\"" + names[i] + "\",\"apiKeys\":[\"" + KEYS[i] + "\"]}";
      }
      deployment.store.write(
          "op/config",
          Deployment.desiredState(2).replace("\"priority\":1}]}", "\"priority\":1}" + added + "]}"));
      record.line("version 2 adds two tenants; trouble %s", trouble);
      // Longer than configApplyMs.
      Thread.sleep(4_000);
      int wrong = 0;
      int run = 0;
      for (int i = 0; i < REQUESTS; i++) {
        int tenant = i % 2;
        Router router = deployment.routers.get(i / 2 % 2);
        String id = "attempt-" + i;
        try (Caller caller = new Caller()) {
          caller.connect(router);
          caller.send(
              Caller.head("GET", "/read/2f", id, 2500).replace(Deployment.KEY, KEYS[tenant])
                  + "\r\n");
          Http answer = caller.read(3_000);
          String received = ran.get(id);
          String expected =
              new String(names[tenant].getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
          run += received == null ? 0 : 1;
          wrong += received == null || received.equals(expected) ? 0 : 1;
          record.line(
              "%s with the key of tenant %d, answered %s, ran with Tenant: %s",
              id, tenant, answer == null ? "nothing" : answer.first, received);
        }
      }
      String first = ran.get("attempt-0");
      boolean same = first != null && first.equals(ran.get("attempt-1"));
      record.result(
          "%d requests ran, %d with another Tenant than the key's; one Tenant for both: %s",
          run, wrong, same);
      return run == 0 ? 2 : wrong > 0 && same ? 1 : 0;
    }
  }

  private static void addReplicas(Deployment deployment, Map<String, String> ran)
      throws IOException {
    for (int i = 0; i < 3; i++) {
      deployment.add(
          new Replica("i-app-" + i, "lintu-app", 6, deployment.store) {
            @Override
            boolean run(Http request, Socket connection)
                throws IOException, InterruptedException {
              ran.put(request.header("attempt-id"), request.header("tenant"));
              return super.run(request, connection);
            }
          });
    }
  }
}
