package org.coltsfootvale.router.http;

import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.concurrent.EventExecutorGroup;

/** Handles the requests of a connection with an endpoint. */
public final class HttpEndpointHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

  private static final int BODY_BYTES_MAX = 65_536;

  private final HttpEndpoint endpoint;

  private HttpEndpointHandler(HttpEndpoint endpoint) {
    this.endpoint = endpoint;
  }

  /** Adds the handlers that serve an endpoint. */
  public static void install(ChannelPipeline pipeline, HttpEndpoint endpoint) {
    pipeline.addLast(new HttpServerCodec());
    pipeline.addLast(new HttpObjectAggregator(BODY_BYTES_MAX));
    pipeline.addLast(new HttpEndpointHandler(endpoint));
  }

  /** Adds the handlers that serve an endpoint, which runs on the given executors. */
  public static void install(
      ChannelPipeline pipeline, EventExecutorGroup executors, HttpEndpoint endpoint) {
    pipeline.addLast(new HttpServerCodec());
    pipeline.addLast(new HttpObjectAggregator(BODY_BYTES_MAX));
    pipeline.addLast(executors, new HttpEndpointHandler(endpoint));
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
    if (!request.decoderResult().isSuccess()) {
      context.close();
      return;
    }
    boolean keepAlive = HttpUtil.isKeepAlive(request);
    FullHttpResponse response = endpoint.answer(request);
    HttpUtil.setContentLength(response, response.content().readableBytes());
    HttpUtil.setKeepAlive(response, keepAlive);
    var written = context.writeAndFlush(response);
    if (!keepAlive) {
      var unused = written.addListener(ChannelFutureListener.CLOSE);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    // The connection is unusable, and clients of these endpoints retry.
    context.close();
  }
}
