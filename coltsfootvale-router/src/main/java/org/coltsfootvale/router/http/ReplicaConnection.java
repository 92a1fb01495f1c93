package org.coltsfootvale.router.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
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
import org.jspecify.annotations.Nullable;

/**
 * A connection to a replica; carries one request at a time. It returns to its pool only if the
 * answer was complete, no data followed it in the same read, and both ends keep it alive.
 */
public final class ReplicaConnection extends ChannelInboundHandlerAdapter {

  /** The margin before the announced idle time-out; exceeds the network delay of a packet. */
  private static final Duration IDLE_MARGIN = Duration.ofMillis(500);

  /** The maximum number of interim answers and late answers to other requests that are skipped. */
  private static final int SKIPPED_ANSWERS_MAX = 8;

  /** The maximum number of body bytes of such answers that are skipped. */
  private static final int SKIPPED_BYTES_MAX = 1024 * 1024;

  private final LongSupplier nanoTime;
  private final Consumer<ReplicaConnection> onIdle;
  private final Consumer<ReplicaConnection> onClosed;
  private final Runnable onDataReceived;
  private Duration idleTimeout;
  private @Nullable Channel channel;
  private @Nullable AnswerReceiver receiver;
  private boolean skippingAnswer;
  private int skippedAnswers;
  private int skippedBytes;
  private boolean reusable = true;
  private boolean answerEnded;
  private boolean connectionReset;
  private long idleSinceNanos;

  ReplicaConnection(
      Duration idleTimeout,
      LongSupplier nanoTime,
      Runnable onDataReceived,
      Consumer<ReplicaConnection> onIdle,
      Consumer<ReplicaConnection> onClosed) {
    this.idleTimeout = idleTimeout;
    this.nanoTime = nanoTime;
    this.onDataReceived = onDataReceived;
    this.onIdle = onIdle;
    this.onClosed = onClosed;
    this.idleSinceNanos = nanoTime.getAsLong();
  }

  /** Sends a request and passes its answer to a receiver. */
  public void send(FullHttpRequest request, AnswerReceiver answerReceiver) {
    Channel open = channel;
    if (open == null || !open.isActive()) {
      request.release();
      answerReceiver.onAnswerLost(
          false, new IOException("the connection was closed before the request"));
      return;
    }
    receiver = answerReceiver;
    answerEnded = false;
    skippingAnswer = false;
    skippedAnswers = 0;
    skippedBytes = 0;
    answerReceiver.beforeSend();
    open.writeAndFlush(request);
  }

  /** Closes the connection, which cancels the request at the replica. */
  public void cancel() {
    receiver = null;
    reusable = false;
    if (channel != null) {
      channel.close();
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

  /** Returns whether a request awaits its answer, so that data may arrive. */
  boolean awaitsAnswer() {
    return receiver != null;
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
      if (receiver == null || answerEnded) {
        // Data without a pending request, and all that follows it, cannot be attributed.
        reusable = false;
        context.close();
      } else if (message instanceof HttpObject object) {
        read(context, receiver, object);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void read(ChannelHandlerContext context, AnswerReceiver answer, HttpObject object) {
    if (object.decoderResult().isFailure()) {
      fail(context, object.decoderResult().cause());
      return;
    }
    if (!skippingAnswer) {
      onDataReceived.run();
    }
    if (object instanceof HttpResponse head) {
      skippingAnswer = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
      if (!skippingAnswer) {
        reusable &= HttpUtil.isKeepAlive(head);
        skippingAnswer = !answer.onHead(head);
        reusable &= !skippingAnswer;
      }
      skippedAnswers += skippingAnswer ? 1 : 0;
    }
    if (object instanceof HttpContent content) {
      if (skippingAnswer) {
        skippedBytes += content.content().readableBytes();
      } else if (receiver == answer) {
        answer.onContent(content.content());
      }
      if (skippedAnswers > SKIPPED_ANSWERS_MAX || skippedBytes > SKIPPED_BYTES_MAX) {
        fail(context, new IOException("the replica sends answers to no request without end"));
        return;
      }
      if (object instanceof LastHttpContent && receiver == answer) {
        end(context, answer);
      }
    }
  }

  private void end(ChannelHandlerContext context, AnswerReceiver answer) {
    if (skippingAnswer) {
      skippingAnswer = false;
      return;
    }
    if (connectionReset) {
      fail(context, new IOException("the connection was reset before the answer was whole"));
      return;
    }
    answerEnded = true;
    answer.onEnd();
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    if (answerEnded) {
      answerEnded = false;
      receiver = null;
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

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    onClosed.accept(this);
    if (!answerEnded) {
      fail(context, new IOException("the replica closed the connection"));
    }
    context.fireChannelInactive();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    connectionReset = true;
    fail(context, cause);
  }

  private void fail(ChannelHandlerContext context, Throwable cause) {
    AnswerReceiver answer = receiver;
    receiver = null;
    reusable = false;
    context.close();
    if (answer != null && !answerEnded) {
      answer.onAnswerLost(true, cause);
    }
  }
}
