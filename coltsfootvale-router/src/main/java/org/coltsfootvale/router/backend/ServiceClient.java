package org.coltsfootvale.router.backend;

import java.net.URI;
import java.time.Instant;
import okhttp3.Headers;
import org.jspecify.annotations.Nullable;

/** Sends requests to plain services. Thread-safe; blocks the calling thread. */
public interface ServiceClient {

  /**
   * Sends a request and passes the answer to the consumer.
   *
   * @throws AttemptFailedException if the answer is not complete; an exception of the consumer ends
   *     the attempt and is propagated
   */
  void call(ServiceCall call, SendGate gate, AnswerConsumer consumer);

  /** Consumes a service's answer; may block, which applies back-pressure. */
  interface AnswerConsumer {

    /** Consumes the status and the headers, without hop-by-hop headers. */
    void head(int status, Headers headers);

    /** Consumes a part of the body; the array is reused after the call. */
    void body(byte[] data, int length);
  }

  /**
   * One attempt at a replica of a service.
   *
   * @param replica the replica's base address
   * @param method the HTTP method
   * @param path the encoded path
   * @param query the encoded query, or null
   * @param headers the headers to send
   * @param body the body, possibly empty
   * @param requestId the request's id, which a service may echo
   * @param deadline the time by which the answer must be complete
   * @param freshConnection whether to open a new connection instead of reusing one
   */
  @SuppressWarnings("ArrayRecordComponent")
  record ServiceCall(
      URI replica,
      String method,
      String path,
      @Nullable String query,
      Headers headers,
      byte[] body,
      String requestId,
      Instant deadline,
      boolean freshConnection) {}
}
