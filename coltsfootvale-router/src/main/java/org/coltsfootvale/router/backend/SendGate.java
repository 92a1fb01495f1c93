package org.coltsfootvale.router.backend;

import java.io.IOException;
import okhttp3.Interceptor;
import okhttp3.Response;
import org.jspecify.annotations.Nullable;

/**
 * Marks the moment from which bytes of a request may have left. It is passed between the opening of
 * the connection and the first write, once for each attempt.
 */
public final class SendGate {

  private final Runnable beforeSend;
  private volatile boolean passed;

  /**
   * Creates a gate.
   *
   * @param beforeSend called directly before the first byte may leave; its exception keeps the
   *     request from being sent
   */
  public SendGate(Runnable beforeSend) {
    this.beforeSend = beforeSend;
  }

  /** Tells whether a byte of the request may have left. */
  public boolean passed() {
    return passed;
  }

  private void pass() throws IOException {
    if (passed) {
      throw new IOException("a request is sent once for each attempt");
    }
    beforeSend.run();
    passed = true;
  }

  /** Passes the gate of the request, if it has one; runs once the connection is open. */
  static Response intercept(Interceptor.Chain chain) throws IOException {
    @Nullable SendGate gate = chain.request().tag(SendGate.class);
    if (gate != null) {
      gate.pass();
    }
    return chain.proceed(chain.request());
  }
}
