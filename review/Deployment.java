import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicLong;

/** The desired state of a small deployment, and the requests of its consumers. */
final class Deployment {

  static final String KEY = "n2ctnfzs989anu6wsjnb";
  private static final AtomicLong IDS = new AtomicLong(System.nanoTime());

  private Deployment() {}

  /** Returns whether the disruption of the case takes place. */
  static boolean trouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  /** The part of a driver that may throw. */
  interface Play {
    void run() throws Exception;
  }

  /** Runs a driver; one that throws could not run, which is not a broken rule. */
  static void runCase(Play play) {
    try {
      play.run();
    } catch (Exception e) {
      e.printStackTrace();
      System.exit(2);
    }
  }

  /** Returns a temporary folder that is deleted when this process ends. */
  static Path folder() throws IOException {
    Path folder = Files.createTempDirectory("coltsfootvale-review");
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  for (File file : folder.toFile().listFiles()) {
                    file.delete();
                  }
                  folder.toFile().delete();
                }));
    return folder;
  }

  static String tenants() {
    return "[{\"name\":\"hule930\",\"apiKeys\":[\"" + KEY + "\"],\"priority\":1}]";
  }

  /** Returns a desired state like that of the small sites. */
  static String state(int version, String tenants) {
    return """
        {"version":%d,"routes":[
        {"name":"r-summary","host":"birds.example","prefix":"/summary/","kind":"streaming",
        "timeoutMs":15000,"goalMs":1000,"priority":1,"service":"llm","maxAttempts":1,
        "anonymous":false,"sticky":true,"resumable":false,"gapTargetMs":800},
        {"name":"r-question","host":"birds.example","prefix":"/question/","kind":"streaming",
        "timeoutMs":12000,"goalMs":600,"priority":0,"service":"llm","maxAttempts":2,
        "anonymous":false,"sticky":true,"resumable":true,"gapTargetMs":800},
        {"name":"r-submit","host":"birds.example","prefix":"/submit/","kind":"non_idempotent",
        "timeoutMs":1200,"goalMs":150,"priority":2,"service":"app","maxAttempts":1,
        "anonymous":false,"sticky":false,"resumable":false},
        {"name":"r-order","host":"birds.example","prefix":"/order/","kind":"non_idempotent",
        "timeoutMs":1200,"goalMs":150,"priority":2,"service":"app","maxAttempts":2,
        "anonymous":false,"sticky":false,"resumable":false},
        {"name":"r-read","host":"birds.example","prefix":"/read/","kind":"idempotent",
        "timeoutMs":1200,"goalMs":150,"priority":2,"service":"app","maxAttempts":2,
        "anonymous":false,"sticky":false,"resumable":false},
        {"name":"r-export","host":"birds.example","prefix":"/export/","kind":"idempotent",
        "timeoutMs":15000,"goalMs":1000,"priority":2,"service":"app","maxAttempts":2,
        "anonymous":false,"sticky":false,"resumable":false}],
        "services":[
        {"name":"llm","healthPath":"/health","maxConns":360,"protocol":"h1","tls":false,
        "engine":{"slots":64,"kvCapacity":531550,"kvTokenBytes":18432,"models":[{"name":"m"}]}},
        {"name":"app","healthPath":"/health","maxConns":96,"protocol":"h1","tls":false}],
        "limits":{"headerBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
        "idleTimeoutMs":15000},"tenants":%s}
        """
        .formatted(version, tenants);
  }

  static String newId() {
    return Long.toHexString(IDS.incrementAndGet());
  }

  /** Returns a request without a prompt. */
  static String plain(String method, String path, String id, String key, int deadlineMillis) {
    return method + " " + path + " HTTP/1.1\r\nHost: birds.example\r\nAttempt-Id: " + id
        + "\r\nDeadline-Ms: " + deadlineMillis + "\r\nAuthorization: Bearer " + key
        + "\r\nContent-Length: 0\r\n\r\n";
  }

  /** Returns a request with a prompt of a shared part, a diary and a part of its own. */
  static String prompt(String path, String id, int diary, int deadlineMillis) {
    return "POST " + path + " HTTP/1.1\r\nHost: birds.example\r\nAttempt-Id: " + id
        + "\r\nDeadline-Ms: " + deadlineMillis + "\r\nAuthorization: Bearer " + KEY
        + "\r\nModel: m\r\nToken-Counts: 2300,400\r\nPrompt-Prefix: 5c1e07a2:512,"
        + Integer.toHexString(0x91bd00 + diary) + ":1500," + id + ":288"
        + "\r\nContent-Length: 0\r\n\r\n";
  }
}
