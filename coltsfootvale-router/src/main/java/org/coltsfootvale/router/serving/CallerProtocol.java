package org.coltsfootvale.router.serving;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.time.Duration;
import org.coltsfootvale.core.course.RequestDescription;

/** Translates between the headers of a protocol and the router's types. */
public interface CallerProtocol {

  /** Returns how many parts the prompt of a request has at most, without reading them. */
  int promptPartsMax(HttpRequest request);

  /** Reads the description of a request from its head. */
  RequestDescription describe(HttpRequest request);

  /**
   * Converts the headers of a caller's request to those of a request to a replica: removes those
   * that concern the caller only and those that the router alone may set, and adds the router's own
   * fields.
   */
  void toReplica(HttpHeaders headers, ForwardFields fields);

  /** Reads the metadata in the head of a replica's answer. */
  AnswerMetadata answerMetadata(HttpResponse answer);

  /** Returns whether a header of this name bears the id of the request that an answer is for. */
  boolean bearsRequestId(String headerName);

  /** Removes the headers that concern the router only from an answer. */
  void toCaller(HttpHeaders headers);

  /** Sets the delay after which a caller may retry. */
  void retryAfter(HttpHeaders headers, Duration delay);
}
