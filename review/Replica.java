import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in of a replica: registers itself, pings, and answers with a set behaviour. */
final class Replica implements AutoCloseable {

  /** A request as it arrived. */
  record Request(String line, Map<String, String> headers, byte[] body) {
    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    String id() {
      return header("Attempt-Id");
    }
  }

  /** Answers one request. */
  @FunctionalInterface
  interface Behaviour {
    void answer(Request request, Socket connection, OutputStream out) throws Exception;
  }

  final String id;
  final List<Request> run = new CopyOnWriteArrayList<>();
  final AtomicInteger busy = new AtomicInteger();
  private final String service;
  private final String zone;
  private final int slots;
  private final long born = System.currentTimeMillis();
  private final Store store;
  private final ServerSocket server;
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private volatile Behaviour behaviour;
  private int seq;

  Replica(Store store, String service, String id, String zone, int slots, Behaviour behaviour)
      throws IOException {
    this.store = store;
    this.service = service;
    this.id = id;
    this.zone = zone;
    this.slots = slots;
    this.behaviour = behaviour;
    server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
    threads.submit(this::accept);
    threads.submit(this::ping);
  }

  void behave(Behaviour next) {
    behaviour = next;
  }

  String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  private void ping() {
    try {
      while (!server.isClosed()) {
        store.write(
            "servers/" + id,
            String.format(
                "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\","
                    + "\"slots\":%d,\"state\":\"ready\",\"coldLeftMs\":0,\"born\":%d,\"seq\":%d}",
                service, address(), zone, slots, born, ++seq));
        Thread.sleep(1_200);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket connection = server.accept();
        connection.setTcpNoDelay(true);
        threads.submit(() -> serve(connection));
      } catch (IOException e) {
        // Closed.
      }
    }
  }

  private void serve(Socket connection) {
    try (connection) {
      InputStream in = new BufferedInputStream(connection.getInputStream());
      while (!connection.isClosed()) {
        String line = readLine(in);
        if (line.isEmpty()) {
          return;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String next = readLine(in); !next.isEmpty(); next = readLine(in)) {
          int colon = next.indexOf(':');
          headers.put(
              next.substring(0, colon).toLowerCase(Locale.ROOT), next.substring(colon + 1).strip());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        Request request = new Request(line, headers, in.readNBytes(length));
        answer(request, connection);
      }
    } catch (Exception e) {
      // The router closed the connection.
    }
  }

  private void answer(Request request, Socket connection) throws Exception {
    OutputStream out = connection.getOutputStream();
    String path = request.line().split(" ")[1];
    if (path.equals("/kv-list")) {
      plain(out, "200 OK", "", "{\"epoch\":1,\"next\":1,\"held\":[]}");
      return;
    }
    if (path.equals("/health")) {
      plain(out, "200 OK", "Replica-Id: " + id + "\r\n", "");
      return;
    }
    if (!request.header("Expect-Instance").isEmpty()
        && !request.header("Expect-Instance").equals(id)) {
      plain(out, "421 Misdirected Request", "Replica-Id: " + id + "\r\n", "");
      return;
    }
    run.add(request);
    busy.incrementAndGet();
    try {
      behaviour.answer(request, connection, out);
    } finally {
      busy.decrementAndGet();
    }
  }

  private static void plain(OutputStream out, String status, String headers, String body)
      throws IOException {
    write(
        out,
        "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n"
            + body);
  }

  /** Returns the start of a head with the id and the signature, without the empty line. */
  static String head(Request request, String status) {
    return "HTTP/1.1 " + status + "\r\nAttempt-Id: " + request.id()
        + "\r\nServer-Seal: seal-" + request.id() + "\r\n";
  }

  static void whole(Request request, OutputStream out, String body) throws IOException {
    write(out, head(request, "200 OK") + "Content-Length: " + body.length() + "\r\n\r\n" + body);
  }

  static void chunk(OutputStream out, String text) throws IOException {
    write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
  }

  static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  private static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int next = in.read(); next >= 0 && next != '\n'; next = in.read()) {
      if (next != '\r') {
        line.append((char) next);
      }
    }
    return line.toString();
  }

  @Override
  public void close() throws IOException {
    server.close();
    threads.shutdownNow();
  }
}
