import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A router process, started with the run line and the variables of the deploy file. */
final class Router implements AutoCloseable {

  final String host;
  final int front = freePort();
  final int readiness = freePort();
  final int control = freePort();
  final int directory = freePort();
  final int metrics = freePort();
  final Path log;
  private final Path settings;
  private final String store;
  final String name;
  Process process;
  private boolean closed;

  Router(Path folder, String name, String zone, Store store) throws IOException {
    this.name = name;
    this.host = "127.0.0.1";
    this.store = store.address();
    log = folder.resolve(name + ".log");
    settings = folder.resolve(name + ".toml");
    Files.writeString(
        settings,
        """
        nodeId = "%s"
        role = "router"
        machineClass = "edge"
        serves = ["edge","control","directory"]
        ip = "127.0.0.1"
        zone = "%s"
        region = "region"
        portRange = [7340,7355]
        seeds = ["127.0.0.1:%d"]
        bootstrap = true
        discovery = "platform"
        entry = "directory"
        heartbeatMs = 1200
        [listen]
        front = "127.0.0.1:%d"
        readiness = "127.0.0.1:%d"
        controlPlane = "127.0.0.1:%d"
        directory = "127.0.0.1:%d"
        [limits]
        cpuShare = 0.75
        cores = 1
        memoryMb = 430
        maxFds = 4100
        linkMbps = 1000.0
        [bounds]
        drainMs = 2000
        graceS = 8
        retryBudgetRatio = 0.2
        budgetWindowS = 10
        budgetSlack = 52
        [platform]
        address = "%s"
        form = "kv"
        """
            .formatted(name, zone, control, front, readiness, control, directory, this.store));
  }

  synchronized void start() throws IOException {
    if (closed) {
      return;
    }
    String deploy = Files.readString(Path.of("deploy/system.toml"));
    Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
    if (!run.find()) {
      throw new IOException("deploy/system.toml has no run line");
    }
    Matcher secret = Pattern.compile("COLTSFOOTVALE_FLEET_SECRET = \"([^\"]*)\"").matcher(deploy);
    if (!secret.find()) {
      throw new IOException("deploy/system.toml has no secret");
    }
    List<String> command = new ArrayList<>(List.of(run.group(1).split(" ")));
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().put("COLTSFOOTVALE_CONFIG", settings.toString());
    builder.environment().put("COLTSFOOTVALE_FLEET_SECRET", secret.group(1));
    builder.environment().put("COLTSFOOTVALE_METRICS", metrics + "/metrics");
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(new File(log.toString())));
    process = builder.start();
    Process started = process;
    Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
  }

  /** Sends SIGTERM. */
  void terminate() {
    process.destroy();
  }

  boolean ready() {
    return status(readiness, "/ready") == 200;
  }

  /** Returns the status of a call to one of this router's own pages, 0 without an answer. */
  int status(int port, String path) {
    try (Caller caller = new Caller(port, 2_000)) {
      caller.send("GET " + path + " HTTP/1.1\r\nHost: " + name + "\r\n\r\n");
      return caller.read().status();
    } catch (IOException e) {
      return 0;
    }
  }

  /** Waits until the router is ready; returns whether it became so in time. */
  boolean awaitReady(long millis) throws InterruptedException {
    long end = System.currentTimeMillis() + millis;
    while (System.currentTimeMillis() < end) {
      if (ready()) {
        return true;
      }
      Thread.sleep(50);
    }
    return false;
  }

  /** Returns a free port below the range of outgoing connections. */
  private static int freePort() throws IOException {
    for (int attempt = 0; attempt < 1_000; attempt++) {
      int port = ThreadLocalRandom.current().nextInt(12_000, 32_000);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
        return socket.getLocalPort();
      } catch (IOException taken) {
        // Another process listens there.
      }
    }
    throw new IOException("no free port");
  }

  @Override
  public synchronized void close() {
    closed = true;
    if (process != null) {
      process.destroyForcibly();
      try {
        process.waitFor();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
