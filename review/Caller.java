import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.FileDescriptor;
import java.io.IOException;
import java.io.InputStream;
import java.lang.reflect.Method;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.Channel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** A consumer's connection. */
final class Caller implements AutoCloseable {

  /** An answer; {@code complete} states whether it arrived up to the end of its framing. */
  record Answer(int status, Map<String, String> headers, byte[] body, boolean complete) {
    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }
  }

  /** The segment size of Ethernet; that of the loopback device lets a sender buffer megabytes. */
  private static final int ETHERNET_SEGMENT_BYTES = 1_460;
  private static final int IPPROTO_TCP = 6;
  private static final int TCP_MAXSEG = 2;

  final Socket socket;
  private final InputStream in;

  Caller(int port, int readTimeoutMillis) throws IOException {
    this(port, readTimeoutMillis, 0);
  }

  /**
   * Connects.
   *
   * @param receiveBufferBytes the receive buffer of a consumer on a link as narrow as an Ethernet
   *     path; 0 for the defaults of the loopback device
   */
  Caller(int port, int readTimeoutMillis, int receiveBufferBytes) throws IOException {
    SocketChannel channel = SocketChannel.open();
    socket = channel.socket();
    if (receiveBufferBytes > 0) {
      socket.setReceiveBufferSize(receiveBufferBytes);
      setSegmentSize(channel);
    }
    socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(readTimeoutMillis);
    in = new BufferedInputStream(socket.getInputStream(), 4_096);
  }

  /** Sets TCP_MAXSEG, which Java offers only inside the JDK. */
  static void setSegmentSize(Channel channel) throws IOException {
    try {
      Method fd = Class.forName("sun.nio.ch.SelChImpl").getMethod("getFD");
      fd.setAccessible(true);
      Method setOption =
          Class.forName("sun.nio.ch.Net")
              .getDeclaredMethod(
                  "setIntOption0", FileDescriptor.class, boolean.class, int.class, int.class,
                  int.class, boolean.class);
      setOption.setAccessible(true);
      setOption.invoke(
          null, fd.invoke(channel), false, IPPROTO_TCP, TCP_MAXSEG, ETHERNET_SEGMENT_BYTES, false);
    } catch (ReflectiveOperationException e) {
      throw new IOException("TCP_MAXSEG cannot be set", e);
    }
  }

  void send(String text) throws IOException {
    send(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  void send(byte[] bytes) throws IOException {
    socket.getOutputStream().write(bytes);
    socket.getOutputStream().flush();
  }

  Answer read() throws IOException {
    return read(0);
  }

  /** Reads an answer, a body with a length at most at the given rate, 0 for unlimited. */
  Answer read(int bytesPerSecond) throws IOException {
    String statusLine = readLine();
    if (statusLine.isEmpty()) {
      return new Answer(0, Map.of(), new byte[0], false);
    }
    int status = Integer.parseInt(statusLine.split(" ", 3)[1]);
    Map<String, String> headers = new TreeMap<>();
    for (String line = readLine(); !line.isEmpty(); line = readLine()) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    boolean complete;
    try {
      complete =
          headers.containsKey("transfer-encoding")
              ? readChunked(body)
              : readLength(
                  body, Integer.parseInt(headers.getOrDefault("content-length", "0")),
                  bytesPerSecond);
    } catch (IOException e) {
      complete = false;
    }
    return new Answer(status, headers, body.toByteArray(), complete);
  }

  private boolean readLength(ByteArrayOutputStream body, int length, int bytesPerSecond)
      throws IOException {
    int left = length;
    byte[] buffer = new byte[bytesPerSecond > 0 ? Math.max(1, bytesPerSecond / 50) : 65_536];
    while (left > 0) {
      int count = in.read(buffer, 0, Math.min(buffer.length, left));
      if (count < 0) {
        return false;
      }
      body.write(buffer, 0, count);
      left -= count;
      if (bytesPerSecond > 0) {
        try {
          Thread.sleep(count * 1_000L / bytesPerSecond);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
          return false;
        }
      }
    }
    return true;
  }

  private boolean readChunked(ByteArrayOutputStream body) throws IOException {
    while (true) {
      String size = readLine();
      if (size.isEmpty()) {
        return false;
      }
      int length = Integer.parseInt(size, 16);
      byte[] bytes = in.readNBytes(length);
      body.writeBytes(bytes);
      if (bytes.length < length) {
        return false;
      }
      readLine();
      if (length == 0) {
        return true;
      }
    }
  }

  private String readLine() throws IOException {
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
    socket.close();
  }
}
