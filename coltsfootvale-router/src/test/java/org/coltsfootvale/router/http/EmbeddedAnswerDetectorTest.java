package org.coltsfootvale.router.http;

import static org.testng.Assert.assertEquals;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Bodies that end within another answer, and bodies that do not. */
@Test(singleThreaded = true)
public class EmbeddedAnswerDetectorTest {

  private static final String ANSWER =
      "HTTP/1.1 500 Error\r\nContent-Length: 0\r\nAttempt-Id: a1\r\n\r\n";

  private final EmbeddedAnswerDetector detector = new EmbeddedAnswerDetector();

  @DataProvider
  Object[][] bodies() {
    return new Object[][] {
      {"whole", "", false},
      {"whole", ANSWER, false},
      {"whole, ends with H", "", false},
      {"whole, ends with H", ANSWER, false},
      {"cut H", "TTP/1.1 500 Error\r\n", true},
      {"cut " + ANSWER, "", true},
      {"cut HTTP/1.1 500 Error\r\nContent-Length: 0\r\n", "", true},
      {"cut HTTP/1.1 500 Error\r\nContent-", "Length: 0\r\n\r\n", true},
      {"cut HTTP/1.1 5", "00 Error\r\nAttempt-Id: a1\r\n\r\n", true},
      {"HTTP/1.0 HTTP/1.1 200 quoted HTTP/1.1 500 E\r\nattempt-id: a1\r\n\r\n", "", true},
      {"name: HTTP/1.1 500 E\nAttempt-Id: a1\n\n", "", true},
      {"quotes HTTP/1.1 200 OK", "", false},
      {"quotes HTTP/1.1 200 OK", ANSWER, false},
      {"quotes HTTP/1.1 200 OK\r\nA: b\r\n\r\nok", ANSWER, false},
      {"quotes HTTP/1.1 200 OK\r\nand goes on", ANSWER, false},
      {"HTTP/1.1 2000 items", ANSWER, false},
    };
  }

  @Test(dataProvider = "bodies")
  public void aBodyIsInspectedAsAWhole(String body, String following, boolean embedded) {
    begin();
    inspect(body);
    assertEquals(endsWithinAnswer(following), embedded);
  }

  @Test(dataProvider = "bodies")
  public void aBodyIsInspectedByteByByte(String body, String following, boolean embedded) {
    begin();
    for (char value : body.toCharArray()) {
      inspect(String.valueOf(value));
    }
    assertEquals(endsWithinAnswer(following), embedded);
  }

  @Test
  public void anEarlierAnswerDoesNotMatter() {
    begin();
    inspect("cut " + ANSWER);
    begin();
    inspect("whole");
    assertEquals(endsWithinAnswer(ANSWER), false);
  }

  private void begin() {
    detector.begin(name -> name.equalsIgnoreCase("Attempt-Id"));
  }

  private void inspect(String text) {
    detector.onContent(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
  }

  private boolean endsWithinAnswer(String following) {
    detector.onEnd();
    if (!following.isEmpty()) {
      detector.onFollowingBytes(Unpooled.copiedBuffer(following, StandardCharsets.US_ASCII));
    }
    return detector.endsWithinAnotherAnswer();
  }
}
