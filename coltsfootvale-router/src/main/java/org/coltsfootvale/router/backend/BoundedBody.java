package org.coltsfootvale.router.backend;

import java.io.IOException;
import okhttp3.ResponseBody;

/** Reads whole bodies up to a limit, as a faulty server may send one without end. */
public final class BoundedBody {

  private BoundedBody() {}

  /**
   * Reads a body.
   *
   * @param bytesMax the maximum size in bytes
   * @throws IOException if the body is larger, or was not received completely
   */
  public static byte[] read(ResponseBody body, long bytesMax) throws IOException {
    if (body.source().request(bytesMax + 1)) {
      throw new IOException("the body of an answer exceeds " + bytesMax + " bytes");
    }
    return body.bytes();
  }
}
