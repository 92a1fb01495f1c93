package org.coltsfootvale.router.serving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Queue;
import org.coltsfootvale.core.overload.CallerMemoryBudget;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against memory in the decoder that is not charged, and against charges for nothing. */
public class CallerRequestDecoderTest {

  private static final String HEAD =
      "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n";

  private final Queue<HttpMethod> methods = new ArrayDeque<>();
  private CallerRequestDecoder decoder = new CallerRequestDecoder(16_384, 65_536, methods);
  private EmbeddedChannel channel = new EmbeddedChannel();
  private long held;

  @BeforeMethod
  void createDecoder() {
    methods.clear();
    held = 0;
    decoder = new CallerRequestDecoder(16_384, 65_536, methods);
    decoder.setListener(bytes -> held = bytes);
    channel = new EmbeddedChannel(decoder);
  }

  private void receive(String text) {
    channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
  }

  private int emitted() {
    int count = 0;
    for (Object object = channel.readInbound(); object != null; object = channel.readInbound()) {
      ReferenceCountUtil.release(object);
      count++;
    }
    return count;
  }

  @Test
  public void theFieldsOfAnIncompleteHeadAreCharged() {
    receive(HEAD + "a:b\r\n".repeat(100));
    assertEquals(emitted(), 0);
    assertTrue(held >= 500 + 100 * CallerMemoryBudget.OBJECT_BYTES, "held " + held);
    receive("\r\n");
    assertEquals(emitted(), 1);
    assertEquals(held, 0);
    assertTrue(decoder.headBytes() >= 500 + 102 * CallerMemoryBudget.OBJECT_BYTES);
    assertEquals(methods.poll(), HttpMethod.POST);
  }

  @Test
  public void trailersInTheReadOfTheBodyAreCharged() {
    receive(HEAD + "\r\n1\r\nx\r\n0\r\n" + "a:b\r\n".repeat(100));
    assertEquals(emitted(), 2);
    assertTrue(held >= 500 + 100 * CallerMemoryBudget.OBJECT_BYTES, "held " + held);
    receive("\r\n");
    assertEquals(emitted(), 1);
    assertEquals(held, 0);
  }

  @Test
  public void aReadThatEndsWithinALineIsCharged() {
    receive("GET /x");
    assertTrue(held >= 6, "held " + held);
  }

  /** Guards against idle callers that are taken for slow ones. */
  @Test
  public void blankLinesBetweenRequestsAreNotCharged() {
    receive("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
    receive("\r\n\r\n");
    assertEquals(held, 0);
    emitted();
  }

  @Test
  public void nothingIsDecodedAfterTheRemoval() {
    receive(HEAD);
    decoder.removeFrom(channel.pipeline());
    decoder.removeFrom(channel.pipeline());
    assertNull(channel.pipeline().get(CallerRequestDecoder.class));
    emitted();
  }
}
