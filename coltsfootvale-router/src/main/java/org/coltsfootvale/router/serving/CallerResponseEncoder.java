package org.coltsfootvale.router.serving;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.Queue;
import org.jspecify.annotations.Nullable;

/** Encodes the responses to the requests of a {@link CallerRequestDecoder}. */
final class CallerResponseEncoder extends HttpResponseEncoder {

  private final Queue<HttpMethod> methods;
  private @Nullable HttpMethod method;

  /**
   * Creates an encoder.
   *
   * @param methods the methods of the requests without a response; not the decoder, whose state
   *     must not outlive its removal
   */
  CallerResponseEncoder(Queue<HttpMethod> methods) {
    this.methods = methods;
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpResponse response) {
    if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
      return super.isContentAlwaysEmpty(response);
    }
    method = methods.poll();
    return HttpMethod.HEAD.equals(method) || super.isContentAlwaysEmpty(response);
  }

  @Override
  protected void sanitizeHeadersBeforeEncode(HttpResponse response, boolean alwaysEmpty) {
    if (!alwaysEmpty
        && HttpMethod.CONNECT.equals(method)
        && response.status().codeClass() == HttpStatusClass.SUCCESS) {
      // Such a response has no body, and its framing headers would be ignored.
      response.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
      return;
    }
    super.sanitizeHeadersBeforeEncode(response, alwaysEmpty);
  }
}
