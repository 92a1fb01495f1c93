package org.coltsfootvale.router.http;

import static org.testng.Assert.assertEquals;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.coltsfootvale.core.model.HostPort;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

@Test(singleThreaded = true)
public class ServingLoopTest {

  private static final long TIMEOUT_MILLIS = 10_000;
  private static final long READ_DELAY_MILLIS = 50;

  private final ServingLoop loop = new ServingLoop();

  @AfterMethod(alwaysRun = true)
  void stop() {
    loop.stop();
  }

  @Test
  public void aTaskAfterTheNextReadKnowsOfAConnectionThatWasClosedBefore() throws Exception {
    List<String> seen = new CopyOnWriteArrayList<>();
    CompletableFuture<Void> done = new CompletableFuture<>();
    CountDownLatch written = new CountDownLatch(1);
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      var unused =
          loop.connect(
              new HostPort("127.0.0.1", server.getLocalPort()),
              1_000,
              pipeline -> pipeline.addLast(new SlowReader(loop, seen, done)));
      Socket peer = server.accept();
      loop.execute(() -> await(written));
      writeAndClose(peer);
      written.countDown();
      done.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }
    assertEquals(seen, List.of("read", "closed", "task"));
  }

  private static void writeAndClose(Socket peer) throws IOException {
    peer.getOutputStream().write(1);
    peer.close();
  }

  private static void await(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Blocks so long in a read that the delay of any scheduled task expires meanwhile. */
  private static final class SlowReader extends ChannelInboundHandlerAdapter {

    private final ServingLoop loop;
    private final List<String> seen;
    private final CompletableFuture<Void> done;

    SlowReader(ServingLoop loop, List<String> seen, CompletableFuture<Void> done) {
      this.loop = loop;
      this.seen = seen;
      this.done = done;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message)
        throws InterruptedException {
      ReferenceCountUtil.release(message);
      seen.add("read");
      loop.afterNextRead(
          () -> {
            seen.add("task");
            done.complete(null);
          });
      Thread.sleep(READ_DELAY_MILLIS);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      seen.add("closed");
    }
  }
}
