package org.coltsfootvale.router.http;

import java.nio.charset.StandardCharsets;

/**
 * The answer to a plain call.
 *
 * @param status the HTTP status
 * @param body the body; not to be modified
 */
@SuppressWarnings("ArrayRecordComponent")
public record HttpReply(int status, byte[] body) {

  /** Returns the body as text. */
  public String text() {
    return new String(body, StandardCharsets.UTF_8);
  }
}
