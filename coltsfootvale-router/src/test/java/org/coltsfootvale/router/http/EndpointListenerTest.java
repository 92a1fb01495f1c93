package org.coltsfootvale.router.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.DefaultEventExecutorGroup;
import io.netty.util.concurrent.EventExecutorGroup;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.coltsfootvale.core.decision.Decision;
import org.coltsfootvale.core.decision.DecisionEvent;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.overload.ConnectionLimit;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

/** Guards against endpoints that slow, idle or too many callers make unavailable. */
@Test(singleThreaded = true)
public class EndpointListenerTest {

  private static final String REQUEST = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
  private static final int TIMEOUT_MILLIS = 10_000;

  /** How long a connection that must stay open is observed. */
  private static final int STAYS_OPEN_MILLIS = 100;

  /** The limit on a host with few descriptors. */
  private static final int CONNECTIONS_MAX = 16;

  private static final int PORT_MIN = 12_000;
  private static final int PORT_MAX = 32_000;

  private final AtomicLong nowNanos = new AtomicLong();
  private final ConcurrentLinkedQueue<Decision> decisions = new ConcurrentLinkedQueue<>();
  private final List<Caller> callers = new ArrayList<>();
  private final ServingLoop loop = new ServingLoop();
  private final EventExecutorGroup renderer = new DefaultEventExecutorGroup(1);

  @AfterClass(alwaysRun = true)
  void stopLoop() {
    loop.stop();
    var unused = renderer.shutdownGracefully();
  }

  @AfterMethod(alwaysRun = true)
  void closeCallers() throws IOException {
    for (Caller caller : callers) {
      caller.socket.close();
    }
    callers.clear();
    decisions.clear();
  }

  @Test
  public void aRequestThatIsNotCompleteWithinFiveSecondsIsClosed() throws Exception {
    EndpointListener listener = start(loop.group(), EndpointListenerTest::ok);
    Caller silent = connect(listener);
    Caller partial = connect(listener);
    partial.send("GET /x HTTP/1.1\r\n");
    Caller kept = connect(listener);
    assertEquals(kept.call(REQUEST), 200);
    kept.send("GET /x");
    settle();
    pass(listener, Duration.ofMillis(4_900));
    assertTrue(silent.isOpen() && partial.isOpen() && kept.isOpen());
    pass(listener, Duration.ofMillis(200));
    assertTrue(silent.isClosed() && partial.isClosed() && kept.isClosed());
  }

  /** Guards against a time for requests that also ends connections between two requests. */
  @Test
  public void aConnectionIsReusedUntilItHasBeenIdleForFifteenSeconds() throws Exception {
    EndpointListener listener = start(loop.group(), EndpointListenerTest::ok);
    Caller caller = connect(listener);
    for (int i = 0; i < 3; i++) {
      assertEquals(caller.call(REQUEST), 200);
      settle();
      pass(listener, Duration.ofMillis(14_900));
    }
    assertTrue(caller.isOpen());
    pass(listener, Duration.ofMillis(200));
    assertTrue(caller.isClosed());
  }

  @Test
  public void aBodyOfMoreThanOneKilobyteIsRejectedBeforeItIsRead() throws Exception {
    EndpointListener listener = start(loop.group(), EndpointListenerTest::ok);
    String head = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n";
    assertEquals(connect(listener).call(head.formatted(1_024) + "x".repeat(1_024)), 200);
    Caller larger = connect(listener);
    assertEquals(larger.call(head.formatted(1_025)), 413);
    assertTrue(larger.isClosed());
    Caller chunked = connect(listener);
    String chunks = "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n401\r\n";
    assertEquals(chunked.call(chunks + "x".repeat(1_025)), 413);
    assertTrue(chunked.isClosed());
  }

  @Test
  public void beyondTheLimitTheConnectionIdleLongestIsClosed() throws Exception {
    EndpointListener listener = start(loop.group(), EndpointListenerTest::ok);
    for (int i = 0; i < CONNECTIONS_MAX; i++) {
      connect(listener);
      settle();
      nowNanos.incrementAndGet();
    }
    assertEquals(callers.get(0).call(REQUEST), 200);
    settle();
    Caller added = connect(listener);
    assertEquals(added.call(REQUEST), 200);
    assertTrue(callers.get(1).isClosed());
    assertTrue(callers.get(0).isOpen() && callers.get(2).isOpen());
    Decision closed = decisions.remove();
    assertEquals(closed.event(), DecisionEvent.CALLER_CONNECTION_LIMIT);
    assertEquals(closed.fields().get("listener"), "test");
    assertEquals(closed.fields().get("closed"), "IDLE");
    assertTrue(decisions.isEmpty());
  }

  /** Guards against a limit that closes a connection before its response is sent. */
  @Test
  public void beyondTheLimitAConnectionWithARequestInProgressIsKept() throws Exception {
    CountDownLatch received = new CountDownLatch(1);
    CountDownLatch rendered = new CountDownLatch(1);
    EndpointListener listener =
        start(
            renderer,
            request -> {
              received.countDown();
              await(rendered);
              return ok(request);
            });
    Caller inProgress = connect(listener);
    inProgress.send(REQUEST);
    assertTrue(received.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
    for (int i = 0; i < CONNECTIONS_MAX; i++) {
      nowNanos.incrementAndGet();
      connect(listener);
      settle();
    }
    assertTrue(callers.get(1).isClosed());
    rendered.countDown();
    assertEquals(inProgress.readStatus(), 200);
  }

  private EndpointListener start(EventExecutorGroup executors, HttpEndpoint endpoint) {
    LimitedConnections limited =
        new LimitedConnections(
            "test",
            ConnectionLimit.ofEndpoint(OptionalLong.of(CONNECTIONS_MAX)),
            nowNanos::get,
            decisions::add);
    EndpointListener listener =
        new EndpointListener(
            loop,
            new HostPort("127.0.0.1", freePort()),
            executors,
            endpoint,
            limited,
            nowNanos::get);
    listener.start();
    return listener;
  }

  /** Returns a free port below the range of outgoing connections. */
  private static int freePort() {
    while (true) {
      int port = ThreadLocalRandom.current().nextInt(PORT_MIN, PORT_MAX);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        return socket.getLocalPort();
      } catch (IOException taken) {
        // In use by another listener; try the next one.
      }
    }
  }

  private static FullHttpResponse ok(FullHttpRequest request) {
    return new DefaultFullHttpResponse(
        HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.EMPTY_BUFFER);
  }

  private Caller connect(EndpointListener listener) throws IOException {
    Caller caller = new Caller(listener.port());
    callers.add(caller);
    return caller;
  }

  /** Waits until the loop has read all that was sent before. */
  private void settle() throws Exception {
    for (int i = 0; i < 2; i++) {
      CountDownLatch read = new CountDownLatch(1);
      loop.afterNextRead(read::countDown);
      await(read);
    }
  }

  private void pass(EndpointListener listener, Duration time) throws Exception {
    nowNanos.addAndGet(time.toNanos());
    CountDownLatch swept = new CountDownLatch(1);
    loop.execute(
        () -> {
          listener.sweep();
          swept.countDown();
        });
    await(swept);
  }

  private static void await(CountDownLatch latch) {
    try {
      assertTrue(latch.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
    } catch (InterruptedException e) {
      throw new AssertionError("the test was interrupted", e);
    }
  }

  /** A caller on a plain socket. */
  private static final class Caller {

    private final Socket socket;
    private final BufferedReader in;

    Caller(int port) throws IOException {
      socket = new Socket("127.0.0.1", port);
      in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
    }

    void send(String text) throws IOException {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    int call(String text) throws IOException {
      send(text);
      return readStatus();
    }

    int readStatus() throws IOException {
      socket.setSoTimeout(TIMEOUT_MILLIS);
      String status = in.readLine();
      for (String line = status; line != null && !line.isEmpty(); line = in.readLine()) {
        // The responses of this test have no body.
      }
      return status == null ? 0 : Integer.parseInt(status.split(" ", 3)[1]);
    }

    boolean isOpen() throws IOException {
      return !ended(STAYS_OPEN_MILLIS);
    }

    boolean isClosed() throws IOException {
      return ended(TIMEOUT_MILLIS);
    }

    private boolean ended(int withinMillis) throws IOException {
      socket.setSoTimeout(withinMillis);
      try {
        return in.read() < 0;
      } catch (SocketTimeoutException open) {
        return false;
      } catch (SocketException reset) {
        return true;
      }
    }
  }
}
