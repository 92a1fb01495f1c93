package org.coltsfootvale.router.http;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import java.time.Duration;
import java.util.function.LongSupplier;
import org.coltsfootvale.core.overload.ConnectionLimit;

/**
 * Observes the requests and responses of a connection to an endpoint. Placed behind the codec;
 * confined to the serving loop.
 */
final class EndpointConnection extends ChannelDuplexHandler implements ConnectionLimit.Connection {

  /** The requests fit into one packet, so that a slower caller does not intend to complete one. */
  private static final long REQUEST_MAX_NANOS = Duration.ofSeconds(5).toNanos();

  private static final long IDLE_MAX_NANOS = Duration.ofSeconds(15).toNanos();

  private final LongSupplier nanoTime;
  private boolean requestExpected = true;
  private boolean decoded;
  private int unansweredRequests;
  private long changedNanos;

  EndpointConnection(LongSupplier nanoTime) {
    this.nanoTime = nanoTime;
    this.changedNanos = nanoTime.getAsLong();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    decoded = true;
    if (message instanceof HttpRequest) {
      onRequestBegun();
    }
    if (message instanceof LastHttpContent) {
      unansweredRequests++;
      requestExpected = false;
      changedNanos = nanoTime.getAsLong();
    }
    context.fireChannelRead(message);
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    if (!decoded) {
      // The bytes were a part of a head, which the codec keeps until the head is complete.
      onRequestBegun();
    }
    decoded = false;
    context.fireChannelReadComplete();
  }

  /** Starts the time for a request; the first one has to be complete in time from the connect. */
  private void onRequestBegun() {
    if (!requestExpected) {
      requestExpected = true;
      changedNanos = nanoTime.getAsLong();
    }
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    if (message instanceof LastHttpContent && !isInterim(message)) {
      promise.addListener(written -> onAnswerSent());
    }
    context.write(message, promise);
  }

  /** Returns whether a message is a response that another one follows, e.g. 100 Continue. */
  private static boolean isInterim(Object message) {
    return message instanceof HttpResponse response
        && response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
  }

  private void onAnswerSent() {
    unansweredRequests--;
    if (!requestExpected) {
      changedNanos = nanoTime.getAsLong();
    }
  }

  /** Returns whether the caller has taken too long for a request, or has been idle for too long. */
  boolean expired() {
    return nanoTime.getAsLong() - changedNanos
        > (requestExpected ? REQUEST_MAX_NANOS : IDLE_MAX_NANOS);
  }

  /**
   * Returns whether all complete requests were answered. An incomplete one does not keep the
   * connection: otherwise callers that never complete theirs would keep out readiness checks.
   */
  @Override
  public boolean idle() {
    return unansweredRequests <= 0;
  }

  @Override
  public long idleSinceNanos() {
    return changedNanos;
  }
}
