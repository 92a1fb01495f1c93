package org.coltsfootvale.router.serving;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.util.List;
import java.util.Queue;
import org.coltsfootvale.router.http.UnemittedLines;

/**
 * Decodes the requests of a caller, and measures the memory of what has not been emitted: the
 * fields of an incomplete head or of trailers, and the read buffer that ends within a line. {@code
 * HttpServerCodec} does not expose its decoder.
 */
final class CallerRequestDecoder extends HttpRequestDecoder {

  /** Receives the memory of what has not been emitted, when it changes. */
  @FunctionalInterface
  interface HeldBytesListener {

    void onHeldBytes(long bytes);
  }

  private final Queue<HttpMethod> methods;
  private final UnemittedLines unemitted = new UnemittedLines();
  private HeldBytesListener listener = bytes -> {};
  private long reportedBytes;
  private long headBytes;
  private boolean ambiguousFraming;

  /**
   * Creates a decoder.
   *
   * @param headerBytesMax the maximum size of the first line, and of a head
   * @param chunkBytesMax the maximum size of an emitted part of a body
   * @param methods receives the methods of the requests, for the encoder of their responses
   */
  CallerRequestDecoder(int headerBytesMax, int chunkBytesMax, Queue<HttpMethod> methods) {
    super(headerBytesMax, headerBytesMax, chunkBytesMax);
    this.methods = methods;
  }

  void setListener(HeldBytesListener heldBytesListener) {
    listener = heldBytesListener;
  }

  /**
   * Removes this decoder, which holds the fields of an incomplete head or of trailers as long as it
   * is in use.
   */
  void removeFrom(ChannelPipeline pipeline) {
    if (pipeline.context(this) != null) {
      pipeline.remove(this);
    }
  }

  /** Returns the memory of the head that was emitted last. */
  long headBytes() {
    return headBytes;
  }

  /** Returns whether the head that was emitted last had both a length and chunks. */
  boolean ambiguousFraming() {
    return ambiguousFraming;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
    super.channelRead(context, message);
    long held = unemitted.heldBytes(internalBuffer());
    if (held != reportedBytes) {
      reportedBytes = held;
      listener.onHeldBytes(held);
    }
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> messages)
      throws Exception {
    int start = bytes.readerIndex();
    int emitted = messages.size();
    ambiguousFraming = false;
    super.decode(context, bytes, messages);
    if (messages.size() == emitted) {
      if (bytes.readerIndex() > start) {
        unemitted.onParsed(bytes, start);
      }
      return;
    }
    if (messages.get(emitted) instanceof HttpRequest head) {
      methods.add(head.method());
      headBytes = unemitted.headBytes(bytes.readerIndex() - start, head.headers().size());
    }
    unemitted.onEmitted();
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    super.handleTransferEncodingChunkedWithContentLength(message);
    ambiguousFraming = true;
  }
}
