package org.coltsfootvale.router.http;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Detects heads that were decoded from more than one answer. If a replica breaks off an answer
 * within its head and goes on with another one, the decoder takes both for one head: the status and
 * some headers are of the first, the others and the body of the second.
 */
final class AnswerHeads {

  private static final String PROTOCOL = "HTTP";

  /** The version and the status of a status line. */
  private static final Pattern STATUS_LINE_START = Pattern.compile("HTTP/1\\.[0-9] [0-9]{3}");

  private AnswerHeads() {}

  /** Returns whether a head is that of a single answer. */
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

  private static boolean containsStatusLine(String text) {
    return text.contains(PROTOCOL) && STATUS_LINE_START.matcher(text).find();
  }
}
