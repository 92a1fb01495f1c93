package org.coltsfootvale.router.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/** Detects heads that are valid in form but belong to no answer that can be delivered. */
final class AnswerHeads {

  private static final String PROTOCOL = "HTTP";

  /** The version and the status of a status line. */
  private static final Pattern STATUS_LINE_START = Pattern.compile("HTTP/1\\.[0-9] [0-9]{3}");

  private AnswerHeads() {}

  /**
   * Returns whether a head is that of a single answer. If a replica breaks off an answer within its
   * head and goes on with another one, the decoder takes both for one head: the status and some
   * headers are of the first, the others and the body of the second.
   */
  static boolean single(HttpResponse head) {
    if (containsStatusLine(head.status().reasonPhrase())) {
      return false;
    }
    for (Map.Entry<String, String> header : head.headers()) {
      if (containsStatusLine(header.getValue())) {
        return false;
      }
    }
    return true;
  }

  /**
   * Returns whether the body has no transfer coding but chunks. The decoder leaves any other coding
   * in the body, which is not the one that the replica has coded.
   */
  static boolean transferCodingSupported(HttpResponse head) {
    List<String> codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
    return codings.isEmpty()
        || (codings.size() == 1
            && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0)));
  }

  private static boolean containsStatusLine(String text) {
    return text.contains(PROTOCOL) && STATUS_LINE_START.matcher(text).find();
  }
}
