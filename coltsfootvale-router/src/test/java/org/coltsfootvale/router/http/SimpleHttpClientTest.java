package org.coltsfootvale.router.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertThrows;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.coltsfootvale.core.model.HostPort;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

@Test(singleThreaded = true)
public class SimpleHttpClientTest {

  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);
  private static final String ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  private static final String GONE_START = "HTTP/1.1 410 Gone\r\nX: ";

  private final ServingLoop loop = new ServingLoop();
  private final List<Socket> connections = new CopyOnWriteArrayList<>();
  private ServerSocket server = listen();
  private volatile String answer = ANSWER;

  private static ServerSocket listen() {
    try {
      return new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    } catch (IOException e) {
      throw new AssertionError("the server did not start", e);
    }
  }

  @BeforeMethod
  void start() throws IOException {
    server.close();
    server = listen();
    connections.clear();
    ServerSocket listening = server;
    new Thread(() -> accept(listening), "server").start();
  }

  @AfterMethod(alwaysRun = true)
  void stop() throws IOException {
    server.close();
    for (Socket connection : connections) {
      connection.close();
    }
  }

  @Test
  public void aConnectionIsReusedAfterItsAnswer() throws Exception {
    SimpleHttpClient client = client();
    assertEquals(call(client).status(), 200);
    assertEquals(call(client).status(), 200);
    assertEquals(connections.size(), 1);
  }

  /** Guards against an answer that takes its status from bytes after the previous one. */
  @Test
  public void bytesAfterAnAnswerDoNotChangeTheNextAnswer() throws Exception {
    for (int length = 1; length <= GONE_START.length(); length++) {
      SimpleHttpClient client = client();
      answer = ANSWER + GONE_START.substring(0, length);
      assertEquals(call(client).status(), 200);
      assertEquals(call(client).status(), 200);
    }
    assertNotEquals(connections.size(), 0);
  }

  /** Guards against a head that was decoded from the start of one answer and from another one. */
  @Test
  public void aHeadThatContainsTheStartOfAnotherAnswerFailsTheCall() throws Exception {
    answer = GONE_START + ANSWER;
    assertEquals(statusOrFailure(), 0);
  }

  /** Guards against a status that is none and is taken for that of an answer. */
  @Test
  public void anAnswerWithoutAValidStatusFailsTheCall() throws Exception {
    for (String status : List.of("000", "0200", "+200", "99", "600")) {
      SimpleHttpClient client = client();
      answer = ANSWER.replace("200", status);
      assertThrows(ExecutionException.class, () -> call(client));
    }
  }

  /** Guards against a field line with an invalid name that is read as another field. */
  @Test
  public void anAnswerWithAMalformedFieldLineFailsTheCall() throws Exception {
    for (String line : List.of("Bad Name: x", "Content-Length : 1", " Name: x", "Na\u0001me: x")) {
      SimpleHttpClient client = client();
      answer = ANSWER.replace("Content", line + "\r\nContent");
      assertThrows(ExecutionException.class, () -> call(client));
    }
  }

  /** Guards against a body that is returned without being decoded. */
  @Test
  public void anAnswerInAnotherTransferCodingFailsTheCall() throws Exception {
    for (String coding : List.of("gzip, chunked", "chunked, gzip", "other")) {
      SimpleHttpClient client = client();
      answer =
          "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: "
              + coding
              + "\r\n\r\n2\r\nok\r\n0\r\n\r\n";
      assertThrows(ExecutionException.class, () -> call(client));
    }
  }

  /** Guards against a body without end that is kept as a whole. */
  @Test
  public void anAnswerAboveTheMaximumSizeFailsTheCall() throws Exception {
    SimpleHttpClient bounded =
        new SimpleHttpClient(loop, new HostPort("127.0.0.1", server.getLocalPort()), 1_000);
    answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + "1\r\nx\r\n".repeat(1_001);
    assertThrows(ExecutionException.class, () -> call(bounded));
    answer = ANSWER;
    assertEquals(call(bounded).status(), 200);
  }

  private int statusOrFailure() {
    try {
      return call(client()).status();
    } catch (Exception expected) {
      return 0;
    }
  }

  private SimpleHttpClient client() {
    return new SimpleHttpClient(loop, new HostPort("127.0.0.1", server.getLocalPort()));
  }

  private HttpReply call(SimpleHttpClient client) throws Exception {
    CompletableFuture<HttpReply> reply = new CompletableFuture<>();
    loop.execute(
        () -> {
          var unused =
              client
                  .call("GET", "/x", new byte[0], CALL_TIMEOUT)
                  .whenComplete(
                      (answered, failure) -> {
                        if (failure == null) {
                          reply.complete(answered);
                        } else {
                          reply.completeExceptionally(failure);
                        }
                      });
        });
    return reply.get(CALL_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void accept(ServerSocket listening) {
    while (!listening.isClosed()) {
      try {
        Socket connection = listening.accept();
        connections.add(connection);
        new Thread(() -> serve(connection), "connection").start();
      } catch (IOException expected) {
        // The test has closed the server.
      }
    }
  }

  private void serve(Socket connection) {
    try (BufferedReader in =
        new BufferedReader(
            new InputStreamReader(connection.getInputStream(), StandardCharsets.UTF_8))) {
      String line = in.readLine();
      while (line != null) {
        if (line.isEmpty()) {
          connection.getOutputStream().write(answer.getBytes(StandardCharsets.UTF_8));
        }
        line = in.readLine();
      }
    } catch (IOException expected) {
      // The client has closed the connection.
    }
  }
}
