package org.coltsfootvale.router.serving;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.function.LongSupplier;
import org.coltsfootvale.core.overload.CallerCharge;
import org.coltsfootvale.core.overload.ChargedConnection;
import org.coltsfootvale.core.overload.ConnectionLimit;
import org.jspecify.annotations.Nullable;

/**
 * A caller's connection: reads one request after the other and writes their answers in order.
 * Pipelined requests wait until the previous one has been answered.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter
    implements ChargedConnection, ConnectionLimit.Connection {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /**
   * How long the connection stays open after its last answer for the caller to close it. Closing a
   * socket with unread data would reset the connection, and the caller would lose the end of the
   * answer.
   */
  private static final long LINGER_NANOS = 1_000_000_000;

  private final RequestStarter starter;
  private final ServingState state;
  private final CallerMemory memory;
  private final Channel channel;
  private final LongSupplier nanoTime;
  private final CallerCharge charge;
  private final PacedReader reader;
  private final CallerTimer timer;
  private final CallerInput input;
  private final CallerOutput output;
  private @Nullable IncomingRequest incoming;
  private @Nullable Exchange exchange;
  private boolean headExpected = true;
  private boolean closing;
  private boolean keepAlive;
  private boolean staysOpen;

  CallerConnection(
      RequestStarter starter,
      ServingState state,
      CallerMemory memory,
      ReadPacing pacing,
      LongSupplier nanoTime,
      Channel channel,
      CallerRequestDecoder decoder) {
    this.starter = starter;
    this.state = state;
    this.memory = memory;
    this.nanoTime = nanoTime;
    this.channel = channel;
    this.charge = memory.open(this);
    this.reader = new PacedReader(pacing, charge, nanoTime, this::onReadingResumed);
    this.timer = new CallerTimer(nanoTime.getAsLong());
    this.input = new CallerInput(memory, charge, nanoTime, decoder);
    this.output = new CallerOutput(channel, charge, nanoTime, this::endOutputIfClosing);
  }

  @Override
  public void channelActive(ChannelHandlerContext active) {
    memory.admitConnection(charge);
  }

  @Override
  public void channelRead(ChannelHandlerContext reading, Object message) {
    if (input.ended() || closing) {
      ReferenceCountUtil.release(message);
      return;
    }
    HttpObject object = (HttpObject) message;
    long headBytes = input.headBytes(object);
    if (reader.pausesAt()) {
      updateReading();
    }
    if (exchange != null || input.hasQueued()) {
      input.queue(object, headBytes);
      updateReading();
    } else {
      process(object, headBytes);
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext reading) {
    reader.onReadComplete();
  }

  /** Reads again; the time of the pause does not count as inactivity of the caller. */
  private void onReadingResumed(long pausedNanos) {
    timer.onPaused(pausedNanos);
    if (incoming != null) {
      incoming.onPaused(pausedNanos);
    }
    updateReading();
  }

  private void updateReading() {
    boolean room = closing || !input.full();
    channel.config().setAutoRead(room && !reader.paused());
  }

  private void process(HttpObject object, long headBytes) {
    try {
      timer.onInput(nanoTime.getAsLong());
      if (object.decoderResult().isFailure()) {
        rejectAndClose(RequestFraming.statusOf(object.decoderResult().cause()));
        return;
      }
      if (object instanceof HttpRequest head) {
        begin(head, headBytes + starter.descriptionBytes(head, headBytes));
      }
      if (object instanceof HttpContent content && incoming != null) {
        append(incoming, content);
      }
    } finally {
      ReferenceCountUtil.release(object);
    }
  }

  private void begin(HttpRequest head, long headBytes) {
    headExpected = false;
    timer.onHead();
    keepAlive = HttpUtil.isKeepAlive(head) && !input.ambiguousFraming();
    if (RequestFraming.ambiguous(head)) {
      rejectAndClose(HttpResponseStatus.BAD_REQUEST);
      return;
    }
    incoming = new IncomingRequest(head, headBytes, starter.bodyBytesMax(), timer.lastInputNanos());
    charge.onProgress(timer.lastInputNanos(), headBytes);
    if (memory.admitRequest(charge, CallerCharge.Use.INCOMING, headBytes)
        && HttpUtil.is100ContinueExpected(head)) {
      channel.writeAndFlush(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
  }

  private void append(IncomingRequest body, HttpContent content) {
    ByteBuf bytes = content.content();
    if (!body.accepts(bytes)) {
      rejectAndClose(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
      return;
    }
    int capacity = body.capacityWith(bytes);
    charge.onProgress(timer.lastInputNanos(), bytes.readableBytes());
    if (!memory.admitRequest(charge, CallerCharge.Use.INCOMING, body.heldBytes(capacity))) {
      return;
    }
    body.append(bytes, capacity);
    if (content instanceof LastHttpContent) {
      incoming = null;
      charge.onRequestComplete();
      exchange = starter.start(this, body);
    }
  }

  /** Answers a request that has not been read completely, and closes the connection. */
  private void rejectAndClose(HttpResponseStatus status) {
    closing = true;
    endInput();
    FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status);
    HttpUtil.setContentLength(response, 0);
    HttpUtil.setKeepAlive(response, false);
    output.writeLast(response);
  }

  /** Frees what is held of incomplete requests, and discards what follows. */
  private void endInput() {
    if (incoming != null) {
      incoming.release();
      incoming = null;
    }
    input.end(channel.pipeline());
  }

  @Override
  public void refuseRequest() {
    if (input.ended()) {
      return;
    }
    keepAlive = false;
    staysOpen = false;
    endInput();
    if (exchange == null) {
      starter.refuseIncomplete(this, memory.retryDelay());
    }
  }

  @Override
  public void close() {
    closing = true;
    channel.close();
  }

  AnswerRoom answerRoom() {
    return new AnswerRoom(memory, charge);
  }

  private void endOutputIfClosing() {
    if (closing) {
      output.endIfSent();
    }
  }

  /** Writes the head of an answer whose body follows in parts. */
  void writeHead(HttpResponse head) {
    announce(head);
    output.write(head);
  }

  /** Writes a part of a body, to be sent with the next flush. */
  void writeContent(ByteBuf content) {
    output.write(new DefaultHttpContent(content));
  }

  /** Sends what was written. */
  void flush() {
    output.flush();
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
    close();
  }

  /** Returns whether the caller reads as fast as answers are written. */
  boolean writable() {
    return channel.isWritable();
  }

  private void finish(Object last) {
    exchange = null;
    headExpected = true;
    closing |= !staysOpen;
    charge.set(CallerCharge.Use.RUNNING, 0);
    if (closing) {
      endInput();
    }
    output.writeLast(last);
    if (closing) {
      return;
    }
    updateReading();
    if (input.hasQueued()) {
      channel.eventLoop().execute(this::processPipelined);
    }
  }

  private void processPipelined() {
    while (exchange == null && !closing) {
      PipelinedRequests.Queued next = input.poll();
      if (next == null) {
        break;
      }
      process(next.object(), next.headBytes());
    }
    updateReading();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext changed) {
    output.updateUnsent();
    if (exchange != null) {
      exchange.onCallerWritable(changed.channel().isWritable());
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext inactive) {
    closing = true;
    endInput();
    charge.close();
    Exchange running = exchange;
    exchange = null;
    if (running != null) {
      running.onCallerDisconnected();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext failed, Throwable cause) {
    memory.checkForOutOfMemory(cause);
    if (!(cause instanceof IOException)) {
      LOGGER.atWarning().withCause(cause).log("a caller's connection failed; closing it");
    }
    close();
  }

  /**
   * Closes the connection if the caller has been idle, or has been sending a request or reading an
   * answer without progress, for too long.
   */
  void checkTimeouts(long idleMaxNanos, long headMaxNanos) {
    output.updateUnsent();
    if (exchange != null || reader.paused()) {
      return;
    }
    long now = nanoTime.getAsLong();
    boolean answered = closing || headExpected;
    boolean slow = !closing && arrivesTooSlowly(now, headMaxNanos);
    long quietMaxNanos = output.ended() ? LINGER_NANOS : answered ? idleMaxNanos : headMaxNanos;
    boolean quiet = now - idleSinceNanos() > quietMaxNanos;
    if (slow || (quiet && !answered)) {
      memory.recordTooSlow();
      rejectAndClose(HttpResponseStatus.REQUEST_TIMEOUT);
    } else if (quiet) {
      close();
    }
  }

  private boolean arrivesTooSlowly(long now, long headMaxNanos) {
    boolean headIncomplete = headExpected && input.holdsIncomplete();
    return incoming == null
        ? timer.headTooSlow(headIncomplete, now, headMaxNanos)
        : incoming.tooSlow(now, headMaxNanos);
  }

  @Override
  public void updateUnsent() {
    output.updateUnsent();
  }

  /**
   * Closes the connection if it has been idle for long enough that the caller has its answers. It
   * was not told of the close: a request that crosses it must stay unread, so that the caller can
   * send it elsewhere.
   */
  void closeIfIdle() {
    if (idle() && nanoTime.getAsLong() - idleSinceNanos() > LINGER_NANOS) {
      close();
    }
  }

  @Override
  public boolean idle() {
    return exchange == null
        && incoming == null
        && !input.hasQueued()
        && headExpected
        && !closing
        && output.sent();
  }

  @Override
  public long idleSinceNanos() {
    long inputNanos = timer.lastInputNanos();
    long outputNanos = output.lastActivityNanos();
    return outputNanos - inputNanos > 0 ? outputNanos : inputNanos;
  }

  /** Gives up the request in progress with its final answer. */
  void endRequest() {
    if (exchange != null) {
      exchange.onRouterStopping();
    } else if (incoming != null) {
      rejectAndClose(HttpResponseStatus.SERVICE_UNAVAILABLE);
    }
  }
}
