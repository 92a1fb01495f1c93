package org.coltsfootvale.router.backend;

import static org.testng.Assert.assertEquals;

import okhttp3.Headers;
import org.testng.annotations.Test;

/** Headers that concern one connection only. */
public class HopByHopHeadersTest {

  @Test
  public void onlyHeadersOfTheWholeWayAreKept() {
    Headers given =
        Headers.of(
            "Connection",
            "close, X-Hop",
            "X-Hop",
            "1",
            "Transfer-Encoding",
            "chunked",
            "Accept",
            "a",
            "Upgrade",
            "h2c");
    assertEquals(HopByHopHeaders.remove(given), Headers.of("Accept", "a"));
  }
}
