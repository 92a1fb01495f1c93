package org.coltsfootvale.router.serving;

import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;

/** Classifies the heads of answers. */
final class AnswerStatus {

  private AnswerStatus() {}

  static boolean isEventStream(HttpResponse response) {
    return HttpUtil.getMimeType(response) != null
        && HttpHeaderValues.TEXT_EVENT_STREAM.contentEqualsIgnoreCase(
            HttpUtil.getMimeType(response));
  }

  /** Returns whether an answer has neither a length nor chunks. */
  static boolean endsWithConnection(HttpResponse response) {
    return !HttpUtil.isContentLengthSet(response) && !HttpUtil.isTransferEncodingChunked(response);
  }

  static boolean isSuccess(HttpResponse response) {
    int status = response.status().code();
    return status >= 200 && status < 300;
  }

  /** Returns whether a status states to callers that the request has not run and never will. */
  static boolean promisesNotRun(int status) {
    return status == HttpResponseStatus.SERVICE_UNAVAILABLE.code()
        || status == HttpResponseStatus.TOO_MANY_REQUESTS.code()
        || status == HttpResponseStatus.REQUEST_TIMEOUT.code()
        || status == HttpResponseStatus.MISDIRECTED_REQUEST.code();
  }
}
