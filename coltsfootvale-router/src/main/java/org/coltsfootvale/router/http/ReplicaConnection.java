package org.coltsfootvale.router.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.coltsfootvale.core.course.AnswerOwner;
import org.jspecify.annotations.Nullable;

/**
 * A connection to a replica; carries one request at a time. It returns to its pool only if the
 * answer was complete, no data followed it in the same read, and both ends keep it alive. An answer
 * that cannot be attributed to the request counts as lost, and closes the connection.
 */
public final class ReplicaConnection extends ChannelInboundHandlerAdapter {

  /** The margin before the announced idle time-out; exceeds the network delay of a packet. */
  private static final Duration IDLE_MARGIN = Duration.ofMillis(500);

  /** The maximum number of interim answers and late answers to other requests that are skipped. */
  private static final int SKIPPED_ANSWERS_MAX = 8;

  /** The maximum number of body bytes of such answers that are skipped. */
  private static final int SKIPPED_BYTES_MAX = 1024 * 1024;

  private final EmbeddedAnswerDetector embedded = new EmbeddedAnswerDetector();
  private final LongSupplier nanoTime;
  private final Consumer<ReplicaConnection> onIdle;
  private final Consumer<ReplicaConnection> onClosed;
  private final Runnable onDataReceived;
  private Duration idleTimeout;

  /** Null after the connection has been cancelled. */
  private @Nullable AnswerDecoder decoder;

  private @Nullable Channel channel;
  private @Nullable AnswerReceiver receiver;
  private boolean skippingAnswer;
  private int skippedAnswers;
  private int skippedBytes;
  private boolean soleRequest = true;
  private boolean reusable = true;
  private boolean answerEnded;
  private long idleSinceNanos;

  ReplicaConnection(
      HttpDecoderConfig decoderConfig,
      Duration idleTimeout,
      LongSupplier nanoTime,
      Runnable onDataReceived,
      Consumer<ReplicaConnection> onIdle,
      Consumer<ReplicaConnection> onClosed) {
    this.decoder =
        new AnswerDecoder(
            decoderConfig, this::answerExpected, this::onUnexpectedBytes, this::onFieldBytes);
    this.idleTimeout = idleTimeout;
    this.nanoTime = nanoTime;
    this.onDataReceived = onDataReceived;
    this.onIdle = onIdle;
    this.onClosed = onClosed;
    this.idleSinceNanos = nanoTime.getAsLong();
  }

  /** Adds the handlers of this connection. */
  void install(ChannelPipeline pipeline) {
    pipeline.addLast(new ReplicaRequestEncoder());
    if (decoder != null) {
      pipeline.addLast(decoder);
    }
    pipeline.addLast(this);
  }

  private boolean answerExpected() {
    return receiver != null && !answerEnded;
  }

  private void onUnexpectedBytes(ByteBuf bytes) {
    reusable = false;
    if (receiver == null) {
      cancel();
    } else {
      embedded.onFollowingBytes(bytes);
    }
  }

  private void onFieldBytes(long bytes) {
    if (receiver != null) {
      receiver.onFieldBytes(bytes);
    }
  }

  /** Sends a request and passes its answer to a receiver. */
  public void send(FullHttpRequest request, AnswerReceiver answerReceiver) {
    Channel open = channel;
    AnswerDecoder decoding = decoder;
    if (open == null || decoding == null || !open.isActive()) {
      request.release();
      answerReceiver.onAnswerLost(
          false, new IOException("the connection was closed before the request"));
      return;
    }
    receiver = answerReceiver;
    decoding.expectAnswerTo(request.method());
    answerEnded = false;
    skippingAnswer = false;
    skippedAnswers = 0;
    skippedBytes = 0;
    answerReceiver.beforeSend();
    var unused =
        open.writeAndFlush(request)
            .addListener(
                written -> {
                  if (!written.isSuccess()) {
                    onWriteFailed(answerReceiver, written.cause());
                  }
                });
  }

  /** Fails the request, as the part that was written may have run. */
  private void onWriteFailed(AnswerReceiver answer, Throwable cause) {
    if (receiver == answer) {
      fail(cause);
    }
  }

  /** Closes the connection, which cancels the request at the replica. */
  public void cancel() {
    receiver = null;
    reusable = false;
    if (channel != null) {
      releaseDecoder(channel.pipeline());
      channel.close();
    }
  }

  /**
   * Removes the decoder, which holds the fields of an incomplete head. The selector keeps a closed
   * channel until it selects again, after all channels that are ready have been read.
   */
  private void releaseDecoder(ChannelPipeline pipeline) {
    AnswerDecoder removed = decoder;
    decoder = null;
    if (removed != null && pipeline.context(removed) != null) {
      pipeline.remove(removed);
    }
  }

  /** Stops or resumes reading, which applies a slow caller's back-pressure to the replica. */
  public void setAutoRead(boolean on) {
    if (channel != null) {
      channel.config().setAutoRead(on);
    }
  }

  /** Sets the idle time-out to less than the one that the replica has announced. */
  public void setIdleTimeout(Duration announced) {
    idleTimeout =
        announced.compareTo(IDLE_MARGIN) > 0 ? announced.minus(IDLE_MARGIN) : Duration.ZERO;
  }

  /** Returns how long the connection has been idle. */
  Duration idleTime() {
    return Duration.ofNanos(nanoTime.getAsLong() - idleSinceNanos);
  }

  boolean expired() {
    return idleTime().compareTo(idleTimeout) >= 0;
  }

  boolean active() {
    return channel != null && channel.isActive();
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    channel = context.channel();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    try {
      AnswerReceiver answer = receiver;
      if (answer != null && !answerEnded && message instanceof HttpObject object) {
        read(answer, object);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void read(AnswerReceiver answer, HttpObject object) {
    if (object.decoderResult().isFailure()) {
      fail(object.decoderResult().cause());
      return;
    }
    if (!skippingAnswer) {
      onDataReceived.run();
    }
    if (object instanceof HttpResponse head && !readHead(answer, head)) {
      return;
    }
    if (object instanceof HttpContent content) {
      if (embedded.onContent(content.content())) {
        fail(new IOException("another answer begins within the body of an answer"));
        return;
      }
      if (skippingAnswer) {
        skippedBytes += content.content().readableBytes();
      } else if (receiver == answer) {
        answer.onContent(content.content());
      }
      if (skippedAnswers > SKIPPED_ANSWERS_MAX || skippedBytes > SKIPPED_BYTES_MAX) {
        fail(new IOException("the replica sends answers to no request without end"));
        return;
      }
      if (object instanceof LastHttpContent && receiver == answer) {
        end();
      }
    }
  }

  /** Reads a head; returns false if it cannot be attributed, so that the connection has failed. */
  private boolean readHead(AnswerReceiver answer, HttpResponse head) {
    if (!AnswerHeads.single(head)) {
      fail(new IOException("the head of an answer contains the start of another answer"));
      return false;
    }
    embedded.begin(answer::bearsRequestId);
    skippingAnswer = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    if (!skippingAnswer) {
      reusable &= HttpUtil.isKeepAlive(head);
      AnswerOwner owner = answer.onHead(head, soleRequest);
      if (owner == AnswerOwner.UNKNOWN) {
        fail(
            new IOException(
                "an answer without an id on a connection that has carried other requests"));
        return false;
      }
      skippingAnswer = owner == AnswerOwner.OTHER_REQUEST;
      soleRequest &= !skippingAnswer;
      reusable &= !skippingAnswer;
    }
    skippedAnswers += skippingAnswer ? 1 : 0;
    return true;
  }

  private void end() {
    if (skippingAnswer) {
      skippingAnswer = false;
      return;
    }
    if (channel == null || ClientSocketChannel.lost(channel)) {
      fail(new IOException("the connection was lost before the answer was complete"));
      return;
    }
    answerEnded = true;
    embedded.onEnd();
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    if (answerEnded) {
      deliverEnd();
      soleRequest = false;
      if (reusable && context.channel().isActive()) {
        idleSinceNanos = nanoTime.getAsLong();
        context.channel().config().setAutoRead(true);
        onIdle.accept(this);
      } else {
        context.close();
      }
    }
    context.fireChannelReadComplete();
  }

  /**
   * Ends the answer after the read in which it ended, as bytes that follow it may show that it was
   * broken off and filled up with another answer.
   */
  private void deliverEnd() {
    AnswerReceiver answer = receiver;
    boolean whole = !embedded.endsWithinAnotherAnswer();
    receiver = null;
    answerEnded = false;
    reusable &= whole;
    if (answer != null && whole) {
      answer.onEnd();
    } else if (answer != null) {
      answer.onAnswerLost(
          true, new IOException("the body of an answer ends within another answer"));
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    onClosed.accept(this);
    fail(new IOException("the replica closed the connection"));
    context.fireChannelInactive();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    fail(cause);
  }

  /** Closes the connection; an answer that has ended before is not affected. */
  private void fail(Throwable cause) {
    if (answerEnded) {
      deliverEnd();
    }
    AnswerReceiver answer = receiver;
    cancel();
    if (answer != null) {
      answer.onAnswerLost(true, cause);
    }
  }
}
