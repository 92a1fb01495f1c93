package org.coltsfootvale.router.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

/**
 * Decodes the answers on a connection that carries one request at a time. An answer with a
 * malformed head, or in a transfer coding other than chunks, fails the connection. Bytes that
 * arrive while no answer is expected are discarded and reported, as the decoder would keep the
 * start of a head among them and complete it with the next answer.
 */
final class AnswerDecoder extends HttpResponseDecoder {

  private final BooleanSupplier answerExpected;
  private final Consumer<ByteBuf> onUnexpectedBytes;
  private final LongConsumer onFieldBytes;
  private final AnswerHeadGrammar grammar = new AnswerHeadGrammar();

  /** The number of readable bytes that the grammar has checked and the decoder has not consumed. */
  private int checkedBytes;

  private final UnemittedLines unemitted = new UnemittedLines();

  /** The memory of the head that was emitted last. */
  private long headBytes;

  private long reportedBytes;
  private boolean headRequested;

  /**
   * Creates a decoder.
   *
   * @param config the limits of heads and chunks
   * @param answerExpected whether a request awaits the rest of its answer
   * @param onUnexpectedBytes receives bytes that belong to no answer
   * @param onFieldBytes receives the memory of the head of the answer, and of its trailers while
   *     they arrive, when it changes
   */
  AnswerDecoder(
      HttpDecoderConfig config,
      BooleanSupplier answerExpected,
      Consumer<ByteBuf> onUnexpectedBytes,
      LongConsumer onFieldBytes) {
    super(config);
    this.answerExpected = answerExpected;
    this.onUnexpectedBytes = onUnexpectedBytes;
    this.onFieldBytes = onFieldBytes;
  }

  /** Sets the method of the request that is answered next; answers to HEAD have no body. */
  void expectAnswerTo(HttpMethod method) {
    headRequested = method.equals(HttpMethod.HEAD);
    headBytes = 0;
    reportedBytes = 0;
    unemitted.onEmitted();
    beginHead();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
    super.channelRead(context, message);
    // Behind the head, the rest of a read is mostly the start of a chunk.
    ByteBuf rest = grammar.ended() ? Unpooled.EMPTY_BUFFER : internalBuffer();
    long held = headBytes + unemitted.heldBytes(rest);
    if (held != reportedBytes && answerExpected.getAsBoolean()) {
      reportedBytes = held;
      onFieldBytes.accept(held);
    }
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> messages)
      throws Exception {
    if (answerExpected.getAsBoolean()) {
      checkHead(bytes);
      decodeExpected(context, bytes, messages);
    } else if (bytes.isReadable()) {
      onUnexpectedBytes.accept(bytes);
      bytes.skipBytes(bytes.readableBytes());
    }
  }

  private void beginHead() {
    grammar.begin();
    checkedBytes = 0;
  }

  private void checkHead(ByteBuf bytes) {
    if (grammar.ended()) {
      return;
    }
    int start = bytes.readerIndex() + checkedBytes;
    int end = bytes.forEachByte(start, bytes.writerIndex() - start, grammar);
    if (grammar.violation() != null) {
      throw new CorruptedFrameException(
          "the head of an answer is malformed: invalid " + grammar.violation());
    }
    checkedBytes = (end < 0 ? bytes.writerIndex() : end + 1) - bytes.readerIndex();
  }

  private void decodeExpected(ChannelHandlerContext context, ByteBuf bytes, List<Object> messages)
      throws Exception {
    int start = bytes.readerIndex();
    int decoded = messages.size();
    super.decode(context, bytes, messages);
    checkedBytes = Math.max(0, checkedBytes - (bytes.readerIndex() - start));
    if (messages.size() > decoded) {
      onDecoded(messages, decoded, bytes.readerIndex() - start);
    } else if (bytes.readerIndex() > start) {
      unemitted.onParsed(bytes, start);
    }
  }

  private void onDecoded(List<Object> messages, int decoded, int lastBytes) {
    if (messages.get(decoded) instanceof HttpResponse head) {
      if (!AnswerHeads.transferCodingSupported(head)) {
        while (messages.size() > decoded) {
          ReferenceCountUtil.release(messages.remove(messages.size() - 1));
        }
        throw new CorruptedFrameException("the transfer coding of an answer is not supported");
      }
      headBytes = unemitted.headBytes(lastBytes, head.headers().size());
    }
    unemitted.onEmitted();
    if (messages.get(messages.size() - 1) instanceof LastHttpContent) {
      beginHead();
    }
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    return headRequested || super.isContentAlwaysEmpty(message);
  }
}
