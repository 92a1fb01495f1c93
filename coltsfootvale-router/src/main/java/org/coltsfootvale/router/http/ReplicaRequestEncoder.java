package org.coltsfootvale.router.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.nio.charset.StandardCharsets;

/**
 * Encodes requests to replicas with the target's bytes unchanged. The decoder of requests
 * represents each byte as one character, while its counterpart writes characters in UTF-8.
 */
final class ReplicaRequestEncoder extends HttpRequestEncoder {

  private static final String LINE_END = "\r\n";

  @Override
  protected void encodeInitialLine(ByteBuf buffer, HttpRequest request) {
    String line =
        request.method().name() + " " + request.uri() + " " + request.protocolVersion() + LINE_END;
    buffer.writeCharSequence(line, StandardCharsets.ISO_8859_1);
  }
}
