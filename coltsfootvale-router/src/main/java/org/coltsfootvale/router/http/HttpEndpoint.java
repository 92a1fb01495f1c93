package org.coltsfootvale.router.http;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;

/** Answers small requests synchronously. */
@FunctionalInterface
public interface HttpEndpoint {

  /** Returns the answer to a request. */
  FullHttpResponse answer(FullHttpRequest request);
}
