import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A replica that begins its stream before it has read the body of the request, with neither a length
 * nor chunks. It reads on and ends the stream by closing the connection, or resets between two
 * events.
 */
final class EarlyReplica implements AutoCloseable {

  /** A link with small windows, so that a request waits at the router until it is read. */
  private static final int RECEIVE_BUFFER_BYTES = 4_096;

  static final int EVENTS = 20;

  private final ServerSocket server;
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final long born = System.currentTimeMillis();
  private final Store store;
  private final String id;
  private final boolean faulty;
  private final AtomicInteger answers = new AtomicInteger();
  private final Record record;
  private int seq;

  EarlyReplica(Store store, String id, boolean faulty, Record record)
      throws IOException {
    this.store = store;
    this.id = id;
    this.faulty = faulty;
    this.record = record;
    ServerSocketChannel channel = ServerSocketChannel.open();
    channel.setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER_BYTES);
    Caller.setSegmentSize(channel);
    channel.bind(new InetSocketAddress("127.0.0.1", 0), 64);
    server = channel.socket();
    threads.submit(this::accept);
    threads.submit(this::ping);
  }

  private void ping() {
    try {
      while (!server.isClosed()) {
        store.write(
            "servers/" + id,
            String.format(
                "{\"service\":\"llm\",\"address\":\"127.0.0.1:%d\",\"zone\":\"zone-a\","
                    + "\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"coldLeftMs\":0,"
                    + "\"born\":%d,\"seq\":%d}",
                server.getLocalPort(), born, ++seq));
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
        threads.submit(() -> serve(connection));
      } catch (IOException e) {
        // Closed.
      }
    }
  }

  private void serve(Socket connection) {
    try (connection) {
      connection.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(connection.getInputStream(), 256);
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
      String requestId = headers.getOrDefault("attempt-id", "");
      record.line("%s runs %s, id %s, body of %d bytes", id, line, requestId, length);
      // Two answers of five, the `x` of 0.4 of the site's `answer_lost` with `reset`.
      boolean resets = faulty && answers.incrementAndGet() % 5 < 2;
      OutputStream out = connection.getOutputStream();
      write(
          out,
          "HTTP/1.1 200 OK\r\nAttempt-Id: " + requestId + "\r\nServer-Seal: seal-" + requestId
              + "\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n");
      for (int event = 1; event <= (resets ? EVENTS / 2 : EVENTS); event++) {
        write(out, event(event));
        Thread.sleep(10);
      }
      if (resets) {
        record.line("%s resets %s after event %d of %d", id, requestId, EVENTS / 2, EVENTS);
        connection.setSoLinger(true, 0);
        return;
      }
      in.readNBytes(length);
      record.line("%s has sent all %d events of %s, read the body, and closes", id, EVENTS, requestId);
    } catch (Exception e) {
      record.line("%s: %s", id, e);
    }
  }

  /** Returns an event of the stream. */
  static String event(int number) {
    return "id: " + number + "\ndata: " + "diary ".repeat(9) + "\n\n";
  }

  private static void write(OutputStream out, String text) throws IOException {
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
