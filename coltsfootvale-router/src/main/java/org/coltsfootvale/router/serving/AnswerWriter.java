package org.coltsfootvale.router.serving;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.time.Duration;
import org.coltsfootvale.core.dispatch.Refusal;

/** Writes answers to callers: those of replicas, and the router's own. */
final class AnswerWriter {

  private final CallerProtocol protocol;

  AnswerWriter(CallerProtocol protocol) {
    this.protocol = protocol;
  }

  /** Refuses a request that has not run, with a retry delay. */
  void refuse(CallerConnection caller, Refusal refusal) {
    refuse(caller, refusal.retryAfter());
  }

  /** Refuses a request that has not run, with a retry delay. */
  void refuse(CallerConnection caller, Duration retryAfter) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.SERVICE_UNAVAILABLE);
    HttpUtil.setContentLength(response, 0);
    protocol.retryAfter(response.headers(), retryAfter);
    caller.writeComplete(response);
  }

  /** Answers with a failure, without stating that the request has not run. */
  void fail(CallerConnection caller, HttpResponseStatus status) {
    FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status);
    HttpUtil.setContentLength(response, 0);
    caller.writeComplete(response);
  }

  /** Delivers a complete answer of a replica. */
  void deliver(CallerConnection caller, HttpResponse head, ByteBuf body, boolean headOnly) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, head.status(), body);
    response.headers().set(head.headers());
    String contentLength = head.headers().get("Content-Length");
    prepare(response);
    if (headOnly && contentLength != null) {
      response.headers().set("Content-Length", contentLength);
    } else if (hasBody(head.status())) {
      HttpUtil.setContentLength(response, body.readableBytes());
    }
    caller.writeComplete(response);
  }

  /** Delivers the head of an answer whose body follows in parts. */
  void deliverHead(CallerConnection caller, HttpResponse head) {
    HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, head.status());
    response.headers().set(head.headers());
    prepare(response);
    HttpUtil.setTransferEncodingChunked(response, true);
    caller.writeHead(response);
  }

  private void prepare(HttpResponse response) {
    ConnectionHeaders.removeFrom(response.headers());
    protocol.toCaller(response.headers());
  }

  private static boolean hasBody(HttpResponseStatus status) {
    return status.code() != HttpResponseStatus.NO_CONTENT.code()
        && status.code() != HttpResponseStatus.NOT_MODIFIED.code();
  }
}
