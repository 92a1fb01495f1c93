package org.coltsfootvale.router.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against heads that are checked or not checked depending on how they arrive. */
public class AnswerDecoderTest {

  private static final String ANSWER =
      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nName: value\r\n\r\nhello";

  @DataProvider
  static Object[][] validAnswers() {
    return new Object[][] {
      {ANSWER},
      {"\r\n" + ANSWER},
      {"HTTP/1.1 100 Continue\r\n\r\n" + ANSWER},
      {"HTTP/1.1 103 Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" + ANSWER},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nName: x\r\n\r\n"},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n"},
      {ANSWER.replace("Name: value\r\n", "a:b\r\n".repeat(255))},
      {ANSWER.replace("hello", "\u0000\r\n:\n")},
    };
  }

  @Test(dataProvider = "validAnswers")
  public void aValidAnswerIsDecodedWhereverItIsSplit(String answer) {
    String body = answer.endsWith(":\n") ? "\u0000\r\n:\n" : "hello";
    for (int length = 0; length <= answer.length(); length++) {
      assertEquals(decode(answer.substring(0, length), answer.substring(length)), "200 " + body);
    }
    assertEquals(decode(answer.split("")), "200 " + body);
  }

  @DataProvider
  static Object[][] malformedAnswers() {
    return new Object[][] {
      {ANSWER.replace("200", "000")},
      {ANSWER.replace("200", "0200")},
      {ANSWER.replace("200", "600")},
      {ANSWER.replace("HTTP", " HTTP")},
      {"HTTP/1.1 100 Continue\r\n\r\n" + ANSWER.replace("200", "000")},
      {"HTTP/1.1 0100 Continue\r\n\r\n" + ANSWER},
      {"\r\n".repeat(9) + ANSWER},
      {ANSWER.replace("Name:", "Bad Name:")},
      {ANSWER.replace("Name:", "Name :")},
      {ANSWER.replace("Name:", " Name:")},
      {ANSWER.replace("Name:", "Na\u0001me:")},
      {ANSWER.replace("Name:", "Name")},
      {ANSWER.replace("value", "a\rb")},
      {ANSWER.replace("Name: value\r\n", "a:b\r\n".repeat(256))},
      {"HTTP/1.1 100 Continue\r\nBad Name: x\r\n\r\n" + ANSWER},
    };
  }

  @Test(dataProvider = "malformedAnswers")
  public void aMalformedHeadFailsTheConnectionWhereverItIsSplit(String answer) {
    for (int length = 0; length <= answer.length(); length++) {
      String start = answer.substring(0, length);
      String end = answer.substring(length);
      assertThrows(CorruptedFrameException.class, () -> decode(start, end));
    }
    assertThrows(CorruptedFrameException.class, () -> decode(answer.split("")));
  }

  /** Returns the last status that is decoded from the parts, and the body. */
  private static String decode(String... parts) {
    AnswerDecoder decoder =
        new AnswerDecoder(new HttpDecoderConfig(), () -> true, bytes -> {}, bytes -> {});
    EmbeddedChannel channel = new EmbeddedChannel(decoder);
    decoder.expectAnswerTo(HttpMethod.GET);
    StringBuilder decoded = new StringBuilder();
    for (String part : parts) {
      channel.writeInbound(Unpooled.copiedBuffer(part, StandardCharsets.ISO_8859_1));
      for (Object next = channel.readInbound(); next != null; next = channel.readInbound()) {
        if (next instanceof HttpResponse head) {
          decoded.setLength(0);
          decoded.append(head.status().code()).append(' ');
        }
        if (next instanceof HttpContent content) {
          decoded.append(content.content().toString(StandardCharsets.ISO_8859_1));
        }
        ReferenceCountUtil.release(next);
      }
    }
    return decoded.toString();
  }
}
