package org.coltsfootvale.router.backend;

import java.io.IOException;
import java.net.ProtocolException;
import okhttp3.Headers;
import okhttp3.Interceptor;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.jspecify.annotations.Nullable;

/**
 * Network interceptor that rejects answers which OkHttp accepts though they are malformed or cut: a
 * head that violates RFC 9112, and an answer without framing whose request could not be sent
 * completely. After the write has failed with the reset of the connection, a read finds the end of
 * the data, which looks like the end of such an answer.
 */
public final class AnswerInterceptor {

  private static final int STATUS_MIN = 100;
  private static final int STATUS_MAX = 599;

  /** Requests ask for no other protocol, so that a switch to one is no answer to them. */
  private static final int SWITCHING_PROTOCOLS = 101;

  /** The characters of a field name besides letters and digits. */
  private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";

  private AnswerInterceptor() {}

  /**
   * Sends the request and checks its answer.
   *
   * @throws IOException if the answer is malformed or cut, besides the failures of the call
   */
  public static Response intercept(Interceptor.Chain chain) throws IOException {
    Request request = chain.request();
    @Nullable RequestBody body = request.body();
    if (body == null) {
      return checkHead(chain.proceed(request));
    }
    ObservedRequestBody observed = new ObservedRequestBody(body);
    Response response =
        chain.proceed(request.newBuilder().method(request.method(), observed).build());
    if (observed.failed() && endsWithConnection(response)) {
      throw new IOException("the connection was lost before the answer was complete");
    }
    return checkHead(response);
  }

  private static boolean endsWithConnection(Response response) {
    return response.header("Content-Length") == null
        && response.header("Transfer-Encoding") == null;
  }

  private static Response checkHead(Response response) throws IOException {
    int status = response.code();
    if (status < STATUS_MIN || status > STATUS_MAX || status == SWITCHING_PROTOCOLS) {
      throw malformed("status");
    }
    if (!text(response.message())) {
      throw malformed("reason");
    }
    Headers headers = response.headers();
    for (int i = 0; i < headers.size(); i++) {
      if (!token(headers.name(i))) {
        throw malformed("name of a field");
      }
      if (!text(headers.value(i))) {
        throw malformed("value of a field");
      }
    }
    return response;
  }

  private static ProtocolException malformed(String part) {
    return new ProtocolException("the head of an answer is malformed: invalid " + part);
  }

  private static boolean token(String name) {
    return !name.isEmpty() && name.chars().allMatch(AnswerInterceptor::tokenCharacter);
  }

  private static boolean tokenCharacter(int value) {
    return (value >= '0' && value <= '9')
        || (value >= 'a' && value <= 'z')
        || (value >= 'A' && value <= 'Z')
        || TOKEN_SYMBOLS.indexOf(value) >= 0;
  }

  private static boolean text(String value) {
    return value.chars().allMatch(c -> c == '\t' || (c >= ' ' && c != 0x7f));
  }
}
