package org.coltsfootvale.router.serving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Guards against bodies that occupy memory without use. */
public class IncomingRequestTest {

  private static final int BODY_BYTES_MAX = 100_000;
  private static final long GRACE_NANOS = TimeUnit.SECONDS.toNanos(4);

  private static IncomingRequest request(String length) {
    HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/x");
    head.headers().set("Content-Length", length);
    return new IncomingRequest(head, 500, BODY_BYTES_MAX, 0);
  }

  private static void add(IncomingRequest request, int count) {
    ByteBuf bytes = Unpooled.wrappedBuffer(new byte[count]);
    assertTrue(request.accepts(bytes));
    request.append(bytes, request.capacityWith(bytes));
  }

  private static long seconds(double seconds) {
    return (long) (seconds * TimeUnit.SECONDS.toNanos(1));
  }

  @Test
  public void theBufferDoublesUpToTheAnnouncedLength() {
    IncomingRequest request = request("90000");
    add(request, 40_000);
    assertEquals(request.body().capacity(), 40_000);
    add(request, 10_000);
    assertEquals(request.body().capacity(), 80_000);
    add(request, 40_000);
    assertEquals(request.body().capacity(), 90_000);
    assertEquals(request.heldBytes(90_000), 90_500);
    assertFalse(request.accepts(Unpooled.wrappedBuffer(new byte[10_001])));
    request.release();
  }

  @Test
  public void aBodyIsTooSlowBelowOneKilobyteInASecondAfterTheGracePeriod() {
    IncomingRequest request = request("90000");
    add(request, 5 * 1_024);
    assertFalse(request.tooSlow(seconds(5), GRACE_NANOS));
    assertTrue(request.tooSlow(seconds(5.1), GRACE_NANOS));
    request.release();
    IncomingRequest empty = request("90000");
    assertFalse(empty.tooSlow(seconds(4), GRACE_NANOS));
    assertTrue(empty.tooSlow(seconds(4.1), GRACE_NANOS));
  }

  /** Guards against a 408 for small bodies whose few bytes arrive in separate packets. */
  @Test
  public void aShortGracePeriodDoesNotJudgeTheFirstSeconds() {
    IncomingRequest request = request("5");
    assertFalse(request.tooSlow(seconds(3), 1));
    assertTrue(request.tooSlow(seconds(3.1), 1));
  }

  @Test
  public void timeDuringWhichTheRouterDoesNotReadDoesNotCount() {
    IncomingRequest request = request("90000");
    request.onPaused(seconds(10));
    assertFalse(request.tooSlow(seconds(14), GRACE_NANOS));
    assertTrue(request.tooSlow(seconds(14.1), GRACE_NANOS));
  }
}
