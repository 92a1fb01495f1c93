package org.coltsfootvale.router.serving;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;

/** Checks of the form of a request. */
final class RequestFraming {

  private RequestFraming() {}

  /** Returns whether another HTTP implementation might delimit the request differently. */
  static boolean ambiguous(HttpRequest head) {
    boolean chunked = head.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
    int lengths = head.headers().getAll(HttpHeaderNames.CONTENT_LENGTH).size();
    return (chunked && lengths > 0)
        || lengths > 1
        || (chunked && !HttpUtil.isTransferEncodingChunked(head))
        || head.headers().getAll(HttpHeaderNames.HOST).size() != 1;
  }

  /** Returns the status for a request that could not be decoded. */
  static HttpResponseStatus statusOf(Throwable failure) {
    boolean tooLong =
        failure instanceof TooLongHttpHeaderException
            || failure instanceof TooLongHttpLineException;
    return tooLong
        ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        : HttpResponseStatus.BAD_REQUEST;
  }
}
