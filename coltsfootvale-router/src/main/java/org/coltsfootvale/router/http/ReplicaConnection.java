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
 * A connection to a replica; carries one request at a time. It returns to its pool only when the
 * answer was whole, nothing followed it in the same reading, and both ends keep the connection.
 */
public final class ReplicaConnection extends ChannelInboundHandlerAdapter {

  /** How long before the announced end a connection is given up: more than a packet's way. */
  private static final Duration IDLE_MARGIN = Duration.ofMillis(500);

  /** The interim answers, and the late answers to other requests, that may precede an answer. */
  private static final int SKIPPED_ANSWERS_MAX = 8;

  /** The body bytes of such answers that are read over. */
  private static final int SKIPPED_BYTES_MAX = 1024 * 1024;

  private final LongSupplier nanoTime;
  private final Consumer<ReplicaConnection> onIdle;
  private final Consumer<ReplicaConnection> onClosed;
  private final Runnable onHeard;
  private Duration setIdleTimeout;
  private @Nullable Channel channel;
  private @Nullable AnswerReceiver receiver;
  private boolean skipping;
  private int skippedAnswers;
  private int skippedBytes;
  private boolean reusable = true;
  private boolean ended;
  private boolean wasReset;
  private long idleSinceNanos;

  ReplicaConnection(
      Duration idleMax,
      LongSupplier nanoTime,
      Runnable onHeard,
      Consumer<ReplicaConnection> onIdle,
      Consumer<ReplicaConnection> onClosed) {
    this.setIdleTimeout = idleMax;
    this.nanoTime = nanoTime;
    this.onHeard = onHeard;
    this.onIdle = onIdle;
    this.onClosed = onClosed;
    this.idleSinceNanos = nanoTime.getAsLong();
  }

  /** Sends a request and hands its answer to a receiver. */
  public void send(FullHttpRequest request, AnswerReceiver answerReceiver) {
    Channel open = channel;
    if (open == null || !open.isActive()) {
      request.release();
      answerReceiver.onAnswerLost(
          false, new IOException("the connection was closed before the request"));
      return;
    }
    receiver = answerReceiver;
    ended = false;
    skipping = false;
    skippedAnswers = 0;
    skippedBytes = 0;
    answerReceiver.beforeSend();
    open.writeAndFlush(request);
  }

  /** Ends the connection, and with it the work of the replica on the request. */
  public void cancel() {
    receiver = null;
    reusable = false;
    if (channel != null) {
      channel.close();
    }
  }

  /** Stops or resumes reading, so that a slow caller slows the replica down. */
  public void setAutoRead(boolean on) {
    if (channel != null) {
      channel.config().setAutoRead(on);
    }
  }

  /** Keeps the connection unused for less than the replica has announced to keep it. */
  public void setIdleTimeout(Duration announced) {
    setIdleTimeout =
        announced.compareTo(IDLE_MARGIN) > 0 ? announced.minus(IDLE_MARGIN) : Duration.ZERO;
  }

  /** Returns for how long the connection has been unused. */
  Duration idle() {
    return Duration.ofNanos(nanoTime.getAsLong() - idleSinceNanos);
  }

  /** Returns whether a request waits for its answer, so that bytes may arrive. */
  boolean awaitsAnswer() {
    return receiver != null;
  }

  boolean expired() {
    return idle().compareTo(setIdleTimeout) >= 0;
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
      if (receiver == null || ended) {
        // Bytes without a request belong to nobody, and what follows them cannot be told apart.
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
    if (!skipping) {
      onHeard.run();
    }
    if (object instanceof HttpResponse head) {
      skipping = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
      if (!skipping) {
        reusable &= HttpUtil.isKeepAlive(head);
        skipping = !answer.onHead(head);
        reusable &= !skipping;
      }
      skippedAnswers += skipping ? 1 : 0;
    }
    if (object instanceof HttpContent content) {
      if (skipping) {
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
    if (skipping) {
      skipping = false;
      return;
    }
    if (wasReset) {
      fail(context, new IOException("the connection was reset before the answer was whole"));
      return;
    }
    ended = true;
    answer.onEnd();
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    if (ended) {
      ended = false;
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
    if (!ended) {
      fail(context, new IOException("the replica closed the connection"));
    }
    context.fireChannelInactive();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    wasReset = true;
    fail(context, cause);
  }

  private void fail(ChannelHandlerContext context, Throwable cause) {
    AnswerReceiver answer = receiver;
    receiver = null;
    reusable = false;
    context.close();
    if (answer != null && !ended) {
      answer.onAnswerLost(true, cause);
    }
  }
}
