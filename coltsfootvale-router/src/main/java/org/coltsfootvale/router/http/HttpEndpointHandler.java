package org.coltsfootvale.router.http;

import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.EventExecutorGroup;

/** Handles the requests of a connection with an endpoint. */
final class HttpEndpointHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

  /** The requests of all endpoints have no body. */
  private static final int BODY_BYTES_MAX = 1_024;

  private final HttpEndpoint endpoint;

  private HttpEndpointHandler(HttpEndpoint endpoint) {
    this.endpoint = endpoint;
  }

  /** Adds the handlers that serve an endpoint, which runs on the given executors. */
  static void install(
      ChannelPipeline pipeline,
      EndpointConnection connection,
      EventExecutorGroup executors,
      HttpEndpoint endpoint) {
    pipeline.addLast(new HttpServerCodec());
    pipeline.addLast(connection);
    pipeline.addLast(new BodyLimit());
    pipeline.addLast(executors, new HttpEndpointHandler(endpoint));
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
    if (!request.decoderResult().isSuccess()) {
      context.close();
      return;
    }
    FullHttpResponse response = endpoint.answer(request);
    write(context, response, HttpUtil.isKeepAlive(request));
  }

  private static void write(
      ChannelHandlerContext context, FullHttpResponse response, boolean keepAlive) {
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

  /** Rejects a request with a longer body and closes its connection instead of reading the body. */
  private static final class BodyLimit extends HttpObjectAggregator {

    BodyLimit() {
      super(BODY_BYTES_MAX);
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
      FullHttpResponse response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
      write(context, response, false);
    }
  }
}
