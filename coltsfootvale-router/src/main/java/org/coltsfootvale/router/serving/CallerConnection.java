package org.coltsfootvale.router.serving;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.LongSupplier;
import org.coltsfootvale.core.overload.ConnectionLimit;
import org.jspecify.annotations.Nullable;

/**
 * A caller's connection: reads one request after the other and writes their answers in order.
 * Pipelined requests wait until the previous one has been answered.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter
    implements ConnectionLimit.Connection {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** Maximum number of buffered messages of pipelined requests; reading stops at it. */
  private static final int PIPELINED_MAX = 64;

  /**
   * How long the connection stays open after its last answer for the caller to close it. Closing a
   * socket with unread data would reset the connection, and the caller would lose the end of the
   * answer.
   */
  private static final long LINGER_NANOS = 1_000_000_000;

  private final RequestStarter starter;
  private final ServingState state;
  private final LongSupplier nanoTime;
  private final Deque<HttpObject> pipelined = new ArrayDeque<>();
  private @Nullable ChannelHandlerContext context;
  private @Nullable IncomingRequest incoming;
  private @Nullable Exchange exchange;
  private boolean headExpected = true;
  private boolean closing;
  private boolean outputEnded;
  private boolean keepAlive;
  private boolean staysOpen;
  private int unwrittenAnswers;
  private long unwrittenBytes;
  private long lastActivityNanos;

  CallerConnection(RequestStarter starter, ServingState state, LongSupplier nanoTime) {
    this.starter = starter;
    this.state = state;
    this.nanoTime = nanoTime;
    this.lastActivityNanos = nanoTime.getAsLong();
  }

  @Override
  public void handlerAdded(ChannelHandlerContext added) {
    context = added;
  }

  @Override
  public void channelRead(ChannelHandlerContext reading, Object message) {
    HttpObject object = (HttpObject) message;
    if (closing) {
      ReferenceCountUtil.release(object);
    } else if (exchange != null || !pipelined.isEmpty()) {
      pipelined.addLast(object);
      if (pipelined.size() >= PIPELINED_MAX) {
        reading.channel().config().setAutoRead(false);
      }
    } else {
      process(object);
    }
  }

  private void process(HttpObject object) {
    try {
      lastActivityNanos = nanoTime.getAsLong();
      if (object.decoderResult().isFailure()) {
        rejectMalformed(object.decoderResult().cause());
        return;
      }
      if (object instanceof HttpRequest head) {
        begin(head);
      }
      if (object instanceof HttpContent content && incoming != null) {
        append(incoming, content);
      }
    } finally {
      ReferenceCountUtil.release(object);
    }
  }

  private void begin(HttpRequest head) {
    headExpected = false;
    keepAlive = HttpUtil.isKeepAlive(head);
    if (ambiguousFraming(head)) {
      rejectAndClose(HttpResponseStatus.BAD_REQUEST);
      return;
    }
    incoming = new IncomingRequest(head, starter.bodyBytesMax(), nanoTime.getAsLong());
    if (HttpUtil.is100ContinueExpected(head)) {
      context()
          .writeAndFlush(
              new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
  }

  /** Returns whether another HTTP implementation might delimit the request differently. */
  private static boolean ambiguousFraming(HttpRequest head) {
    boolean chunked = head.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
    int lengths = head.headers().getAll(HttpHeaderNames.CONTENT_LENGTH).size();
    return (chunked && lengths > 0)
        || lengths > 1
        || (chunked && !HttpUtil.isTransferEncodingChunked(head))
        || head.headers().getAll(HttpHeaderNames.HOST).size() != 1;
  }

  private void append(IncomingRequest body, HttpContent content) {
    if (!body.append(content.content())) {
      rejectAndClose(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
      return;
    }
    if (content instanceof LastHttpContent) {
      incoming = null;
      exchange = starter.start(this, body);
    }
  }

  private void rejectMalformed(Throwable cause) {
    boolean tooLong =
        cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
    rejectAndClose(
        tooLong
            ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            : HttpResponseStatus.BAD_REQUEST);
  }

  /** Answers a request that has not been read completely, and closes the connection. */
  private void rejectAndClose(HttpResponseStatus status) {
    if (incoming != null) {
      incoming.release();
      incoming = null;
    }
    closing = true;
    FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status);
    HttpUtil.setContentLength(response, 0);
    HttpUtil.setKeepAlive(response, false);
    writeLast(response);
  }

  /** Writes the end of an answer, and keeps the connection from being idle until it is sent. */
  private void writeLast(Object last) {
    lastActivityNanos = nanoTime.getAsLong();
    unwrittenAnswers++;
    var unused = context().writeAndFlush(last).addListener(written -> onAnswerSent());
  }

  private void onAnswerSent() {
    lastActivityNanos = nanoTime.getAsLong();
    unwrittenAnswers--;
    endOutputIfSent();
  }

  /** Tells the caller that no answer follows once all are sent. */
  private void endOutputIfSent() {
    if (closing && !outputEnded && unwrittenAnswers == 0 && context().channel().isActive()) {
      outputEnded = true;
      context().channel().config().setAutoRead(true);
      ((SocketChannel) context().channel()).shutdownOutput();
    }
  }

  /** Writes the head of an answer whose body follows in parts. */
  void writeHead(HttpResponse head) {
    announce(head);
    context().write(head);
  }

  /** Writes a part of a body, to be sent with the next flush. */
  void writeContent(ByteBuf content) {
    context().write(new DefaultHttpContent(content));
  }

  /** Sends what was written. */
  void flush() {
    context().flush();
  }

  /** Ends an answer that was written in parts. */
  void writeEnd() {
    finish(LastHttpContent.EMPTY_LAST_CONTENT);
  }

  /** Writes a complete answer. */
  void writeComplete(FullHttpResponse response) {
    announce(response);
    finish(response);
  }

  /** States in the head of an answer whether the connection stays open after it. */
  private void announce(HttpResponse head) {
    staysOpen = keepAlive && !state.draining();
    HttpUtil.setKeepAlive(head, staysOpen);
  }

  /**
   * Closes the connection within an answer, so that the caller cannot take it for a complete one.
   */
  void abort() {
    exchange = null;
    closing = true;
    context().close();
  }

  /** Returns whether the caller reads as fast as answers are written. */
  boolean writable() {
    return context().channel().isWritable();
  }

  private void finish(Object last) {
    exchange = null;
    headExpected = true;
    closing |= !staysOpen;
    writeLast(last);
    if (closing) {
      return;
    }
    context().channel().config().setAutoRead(true);
    if (!pipelined.isEmpty()) {
      context().executor().execute(this::processPipelined);
    }
  }

  private void processPipelined() {
    while (exchange == null && !pipelined.isEmpty() && !closing) {
      process(pipelined.pollFirst());
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext changed) {
    if (exchange != null) {
      exchange.onCallerWritable(changed.channel().isWritable());
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext inactive) {
    closing = true;
    pipelined.forEach(ReferenceCountUtil::release);
    pipelined.clear();
    if (incoming != null) {
      incoming.release();
      incoming = null;
    }
    Exchange running = exchange;
    exchange = null;
    if (running != null) {
      running.onCallerDisconnected();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext failed, Throwable cause) {
    if (!(cause instanceof IOException)) {
      LOGGER.atWarning().withCause(cause).log("a caller's connection failed; closing it");
    }
    failed.close();
  }

  /**
   * Closes the connection if the caller has been idle, or has been sending a request or reading an
   * answer without progress, for too long.
   */
  void checkTimeouts(long idleMaxNanos, long headMaxNanos) {
    if (exchange != null) {
      return;
    }
    recordProgress();
    long quietNanos = nanoTime.getAsLong() - lastActivityNanos;
    boolean answered = closing || headExpected;
    if (quietNanos <= (outputEnded ? LINGER_NANOS : answered ? idleMaxNanos : headMaxNanos)) {
      return;
    }
    if (answered) {
      closing = true;
      context().close();
    } else {
      rejectAndClose(HttpResponseStatus.REQUEST_TIMEOUT);
    }
  }

  /** Counts it as activity if the caller has read a part of the answers since the last call. */
  private void recordProgress() {
    ChannelOutboundBuffer buffer = context().channel().unsafe().outboundBuffer();
    long remaining =
        buffer == null ? 0 : buffer.totalPendingWriteBytes() - buffer.currentProgress();
    if (remaining != unwrittenBytes) {
      unwrittenBytes = remaining;
      lastActivityNanos = nanoTime.getAsLong();
    }
  }

  /**
   * Closes the connection if it has been idle for long enough that the caller has its answers. It
   * was not told of the close: a request that crosses it must stay unread, so that the caller can
   * send it elsewhere.
   */
  void closeIfIdle() {
    if (idle() && nanoTime.getAsLong() - lastActivityNanos > LINGER_NANOS) {
      closing = true;
      context().close();
    }
  }

  @Override
  public boolean idle() {
    return exchange == null
        && incoming == null
        && pipelined.isEmpty()
        && headExpected
        && !closing
        && unwrittenAnswers == 0;
  }

  @Override
  public long idleSinceNanos() {
    return lastActivityNanos;
  }

  /** Gives up the request in progress with its final answer. */
  void endRequest() {
    if (exchange != null) {
      exchange.onRouterStopping();
    } else if (incoming != null) {
      rejectAndClose(HttpResponseStatus.SERVICE_UNAVAILABLE);
    }
  }

  private ChannelHandlerContext context() {
    ChannelHandlerContext added = context;
    if (added == null) {
      throw new IllegalStateException("the handler has not been added to a pipeline");
    }
    return added;
  }

  /** Copies a buffer into one of its own size. */
  static ByteBuf copy(ByteBuf content) {
    return Unpooled.wrappedBuffer(ByteBufUtil.getBytes(content));
  }
}
