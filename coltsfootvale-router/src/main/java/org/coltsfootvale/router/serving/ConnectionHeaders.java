package org.coltsfootvale.router.serving;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/** Removes hop-by-hop headers, which concern one connection only. */
final class ConnectionHeaders {

  private static final List<CharSequence> NAMES =
      List.of(
          HttpHeaderNames.CONNECTION,
          HttpHeaderNames.CONTENT_LENGTH,
          HttpHeaderNames.EXPECT,
          "Keep-Alive",
          HttpHeaderNames.PROXY_AUTHENTICATE,
          HttpHeaderNames.PROXY_AUTHORIZATION,
          "Proxy-Connection",
          HttpHeaderNames.TE,
          HttpHeaderNames.TRAILER,
          HttpHeaderNames.TRANSFER_ENCODING,
          HttpHeaderNames.UPGRADE);

  private ConnectionHeaders() {}

  /** Removes the hop-by-hop headers, including those that the Connection header names. */
  static void removeFrom(HttpHeaders headers) {
    for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
      for (String name : value.split(",", -1)) {
        if (!name.isBlank()) {
          headers.remove(name.strip());
        }
      }
    }
    NAMES.forEach(headers::remove);
  }
}
