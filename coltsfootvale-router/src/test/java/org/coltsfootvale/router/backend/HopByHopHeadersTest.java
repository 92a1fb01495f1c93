package org.coltsfootvale.router.backend;

import static org.testng.Assert.assertEquals;

import okhttp3.Headers;
import org.testng.annotations.Test;

/** Tests the removal of hop-by-hop headers. */
public class HopByHopHeadersTest {

  @Test
  public void onlyEndToEndHeadersAreKept() {
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
