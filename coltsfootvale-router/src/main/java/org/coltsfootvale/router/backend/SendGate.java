package org.coltsfootvale.router.backend;

import java.io.IOException;
import okhttp3.Interceptor;
import okhttp3.Response;
import org.jspecify.annotations.Nullable;

/**
 * Marks the point from which bytes of a request may have been sent. It is passed once per attempt,
 * after the connection is open and before the first write.
 */
public final class SendGate {

  private final Runnable beforeSend;
  private volatile boolean passed;

  /**
   * Creates a gate.
   *
   * @param beforeSend called directly before the first byte may be sent; an exception prevents the
   *     sending
   */
  public SendGate(Runnable beforeSend) {
    this.beforeSend = beforeSend;
  }

  /** Returns whether bytes of the request may have been sent. */
  public boolean passed() {
    return passed;
  }

  private void pass() throws IOException {
    if (passed) {
      throw new IOException("the request has already been sent in this attempt");
    }
    beforeSend.run();
    passed = true;
  }

  /** Network interceptor that passes the gate of the request, if any, on an open connection. */
  static Response intercept(Interceptor.Chain chain) throws IOException {
    @Nullable SendGate gate = chain.request().tag(SendGate.class);
    if (gate != null) {
      gate.pass();
    }
    return chain.proceed(chain.request());
  }
}
