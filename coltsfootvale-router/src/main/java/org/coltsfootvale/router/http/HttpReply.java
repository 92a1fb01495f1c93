package org.coltsfootvale.router.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;

/**
 * The answer to an HTTP call.
 *
 * @param status the HTTP status
 * @param headers the headers; must not be modified
 * @param body the body; must not be modified
 */
@SuppressWarnings("ArrayRecordComponent")
public record HttpReply(int status, HttpHeaders headers, byte[] body) {

  /** Returns the body decoded as UTF-8. */
  public String text() {
    return new String(body, StandardCharsets.UTF_8);
  }
}
