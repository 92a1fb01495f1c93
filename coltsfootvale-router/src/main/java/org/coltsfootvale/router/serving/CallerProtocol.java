package org.coltsfootvale.router.serving;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.time.Duration;
import org.coltsfootvale.core.course.RequestDescription;

/** Translates between the headers of a protocol and the product's types. */
public interface CallerProtocol {

  /** Reads what a request tells of itself. */
  RequestDescription describe(HttpRequest request);

  /**
   * Makes the headers of a caller's request those of a request to a replica: removes what concerns
   * the caller only and what the router alone may set, and adds the router's own fields.
   */
  void toReplica(HttpHeaders headers, ForwardFields fields);

  /** Reads the head of a replica's answer. */
  AnswerMetadata answerMetadata(HttpResponse answer);

  /** Removes from an answer what concerns the router only. */
  void toCaller(HttpHeaders headers);

  /** Tells a caller when to come back. */
  void retryAfter(HttpHeaders headers, Duration delay);
}
