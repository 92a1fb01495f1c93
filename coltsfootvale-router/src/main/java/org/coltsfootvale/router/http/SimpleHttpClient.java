package org.coltsfootvale.router.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.coltsfootvale.core.model.HostPort;
import org.jspecify.annotations.Nullable;

/**
 * Makes HTTP calls to one address over reused connections. The connection of a failed call is
 * closed. Confined to the serving loop.
 */
public final class SimpleHttpClient {

  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final int DEFAULT_BODY_BYTES_MAX = 8 * 1024 * 1024;

  private final ServingLoop loop;
  private final HostPort address;
  private final int bodyBytesMax;
  private final Deque<Channel> idle = new ArrayDeque<>();

  /** Creates a client for an address. */
  public SimpleHttpClient(ServingLoop loop, HostPort address) {
    this(loop, address, DEFAULT_BODY_BYTES_MAX);
  }

  /**
   * Creates a client for an address.
   *
   * @param bodyBytesMax the maximum size of the body of an answer; larger ones fail the call
   */
  public SimpleHttpClient(ServingLoop loop, HostPort address, int bodyBytesMax) {
    this.loop = loop;
    this.address = address;
    this.bodyBytesMax = bodyBytesMax;
  }

  /**
   * Makes a call; must be called on the serving loop.
   *
   * @param method the HTTP method
   * @param target the path and query
   * @param body the JSON body, empty for none
   * @param timeout the time-out of the call, including the time to connect
   * @return a future that fails with an {@link IOException} if there is no answer
   */
  public CompletableFuture<HttpReply> call(
      String method, String target, byte[] body, Duration timeout) {
    CompletableFuture<HttpReply> reply = new CompletableFuture<>();
    FullHttpRequest request = request(method, target, body);
    Channel idleChannel = takeIdle();
    if (idleChannel != null) {
      send(idleChannel, request, reply);
    } else {
      connect(request, reply);
    }
    var timer =
        loop.eventLoop()
            .schedule(
                () -> reply.completeExceptionally(callFailure(method, target, "timed out")),
                timeout.toMillis(),
                TimeUnit.MILLISECONDS);
    var unused = reply.whenComplete((answer, failure) -> timer.cancel(false));
    return reply;
  }

  /** Closes the idle connections. */
  public void close() {
    List.copyOf(idle).forEach(Channel::close);
  }

  private @Nullable Channel takeIdle() {
    Channel channel = idle.pollLast();
    while (channel != null && !channel.isActive()) {
      channel = idle.pollLast();
    }
    return channel;
  }

  private void connect(FullHttpRequest request, CompletableFuture<HttpReply> reply) {
    ChannelFuture connecting =
        loop.connect(
            address, CONNECT_TIMEOUT_MILLIS, pipeline -> new ReplyHandler().install(pipeline));
    var unused =
        connecting.addListener(
            done -> {
              if (done.isSuccess()) {
                send(connecting.channel(), request, reply);
              } else {
                request.release();
                reply.completeExceptionally(done.cause());
              }
            });
  }

  private void send(Channel channel, FullHttpRequest request, CompletableFuture<HttpReply> reply) {
    ReplyHandler handler = channel.pipeline().get(ReplyHandler.class);
    handler.expect(reply, request.method());
    var unused =
        reply.whenComplete(
            (answer, failure) -> {
              if (failure != null) {
                channel.close();
              }
            });
    channel.writeAndFlush(request);
  }

  private FullHttpRequest request(String method, String target, byte[] body) {
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.valueOf(method), target, Unpooled.wrappedBuffer(body));
    request.headers().set(HttpHeaderNames.HOST, address.toString());
    if (body.length > 0) {
      request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
    }
    HttpUtil.setContentLength(request, body.length);
    return request;
  }

  private static IOException callFailure(String method, String target, String what) {
    return new IOException(method + " " + target + ": " + what);
  }

  /** Completes the pending call of a connection at the end of the read that ends its answer. */
  private final class ReplyHandler extends SimpleChannelInboundHandler<FullHttpResponse> {

    private final AnswerDecoder decoder =
        new AnswerDecoder(
            new HttpDecoderConfig(), this::answerExpected, this::onUnexpectedBytes, bytes -> {});
    private @Nullable ChannelHandlerContext context;
    private @Nullable CompletableFuture<HttpReply> pending;
    private @Nullable HttpReply received;
    private boolean reusable = true;

    void install(ChannelPipeline pipeline) {
      pipeline.addLast(new HttpRequestEncoder());
      pipeline.addLast(decoder);
      pipeline.addLast(new HttpObjectAggregator(bodyBytesMax));
      pipeline.addLast(this);
    }

    void expect(CompletableFuture<HttpReply> reply, HttpMethod method) {
      pending = reply;
      decoder.expectAnswerTo(method);
    }

    private boolean answerExpected() {
      return pending != null && received == null;
    }

    private void onUnexpectedBytes(ByteBuf bytes) {
      reusable = false;
      if (pending == null && context != null) {
        context.close();
      }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
      context = added;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext reading, FullHttpResponse response) {
      if (!response.decoderResult().isSuccess() || !AnswerHeads.single(response)) {
        fail(reading, new IOException("the HTTP answer could not be decoded"));
        return;
      }
      if (ClientSocketChannel.lost(reading.channel())) {
        fail(reading, new IOException("the connection was lost before the answer was complete"));
        return;
      }
      byte[] body = new byte[response.content().readableBytes()];
      response.content().readBytes(body);
      reusable &= HttpUtil.isKeepAlive(response);
      received = new HttpReply(response.status().code(), response.headers(), body);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext read) {
      CompletableFuture<HttpReply> reply = pending;
      HttpReply answer = received;
      if (reply != null && answer != null) {
        pending = null;
        received = null;
        if (reusable && !reply.isDone()) {
          idle.addLast(read.channel());
        } else {
          read.close();
        }
        reply.complete(answer);
      }
      read.fireChannelReadComplete();
    }

    @Override
    public void channelInactive(ChannelHandlerContext closed) {
      idle.remove(closed.channel());
      fail(closed, new IOException("the connection was closed before the answer"));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext failed, Throwable cause) {
      fail(failed, cause);
    }

    private void fail(ChannelHandlerContext failed, Throwable cause) {
      CompletableFuture<HttpReply> reply = pending;
      pending = null;
      received = null;
      failed.close();
      if (reply != null) {
        reply.completeExceptionally(cause);
      }
    }
  }
}
