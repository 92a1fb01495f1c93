package org.coltsfootvale.router.serving;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.DefaultEventExecutorGroup;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.LongSupplier;
import org.coltsfootvale.core.quarantine.PromptQuarantine;
import org.coltsfootvale.core.support.Service;
import org.coltsfootvale.router.http.EndpointListener;
import org.coltsfootvale.router.http.LimitedConnections;
import org.coltsfootvale.router.http.ServingLoop;
import org.coltsfootvale.router.metrics.GaugeSample;
import org.coltsfootvale.router.metrics.MetricsPage;

/**
 * Serves metrics and the state dump, which are rendered on a separate thread, and lets operators
 * release prompt parts from quarantine.
 */
final class MonitoringListener implements Service {

  private static final String STATE_PATH = "/state";
  private static final String QUARANTINE_PATH = "/quarantine/";

  /** Maximum time to wait for the serving loop, which responds within milliseconds normally. */
  private static final long SNAPSHOT_TIMEOUT_MILLIS = 2_000;

  private final ServingLoop loop;
  private final String metricsPath;
  private final MetricsPage page;
  private final StateReport report;
  private final PromptQuarantine quarantine;
  private final String releaseSecret;
  private final DefaultEventExecutorGroup renderer = new DefaultEventExecutorGroup(1);
  private final EndpointListener listener;

  MonitoringListener(
      ServingLoop loop,
      MetricsAddress address,
      MetricsPage page,
      StateReport report,
      PromptQuarantine quarantine,
      String releaseSecret,
      LimitedConnections limited,
      LongSupplier nanoTime) {
    this.loop = loop;
    this.metricsPath = address.path();
    this.page = page;
    this.report = report;
    this.quarantine = quarantine;
    this.releaseSecret = releaseSecret;
    this.listener =
        new EndpointListener(loop, address.address(), renderer, this::answer, limited, nanoTime);
  }

  @Override
  public void start() {
    listener.start();
  }

  @Override
  public void stop() {
    listener.stop();
    renderer.shutdownGracefully();
  }

  /** Closes connections on which callers have been idle or slow for too long. */
  void sweep() {
    listener.sweep();
  }

  private FullHttpResponse answer(FullHttpRequest request) {
    try {
      if (request.uri().startsWith(QUARANTINE_PATH)) {
        return release(request);
      }
      if (request.uri().equals(metricsPath)) {
        List<GaugeSample> readings = onLoop(report::readings);
        return text(HttpResponseStatus.OK, "text/plain; version=0.0.4", page.render(readings));
      }
      if (request.uri().equals(STATE_PATH)) {
        return text(HttpResponseStatus.OK, "application/json", onLoop(report::dump));
      }
      return text(
          HttpResponseStatus.NOT_FOUND,
          "text/plain",
          "no such page; try " + metricsPath + " or " + STATE_PATH + "\n");
    } catch (ExecutionException | TimeoutException e) {
      return text(
          HttpResponseStatus.SERVICE_UNAVAILABLE,
          "text/plain",
          "the serving loop did not return its state in time; try again: " + e + "\n");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return text(HttpResponseStatus.SERVICE_UNAVAILABLE, "text/plain", "stopping\n");
    }
  }

  private FullHttpResponse release(FullHttpRequest request)
      throws ExecutionException, TimeoutException, InterruptedException {
    if (!request.method().equals(HttpMethod.DELETE)) {
      return text(HttpResponseStatus.METHOD_NOT_ALLOWED, "text/plain", "DELETE releases a part\n");
    }
    String authorization = request.headers().get(HttpHeaderNames.AUTHORIZATION, "");
    if (!MessageDigest.isEqual(bytes(authorization), bytes("Bearer " + releaseSecret))) {
      return text(
          HttpResponseStatus.UNAUTHORIZED,
          "text/plain",
          "give the fleet's secret as a bearer token\n");
    }
    String part =
        URLDecoder.decode(
            request.uri().substring(QUARANTINE_PATH.length()), StandardCharsets.UTF_8);
    return onLoop(() -> quarantine.release(part))
        ? text(HttpResponseStatus.OK, "text/plain", "released at all routers in contact\n")
        : text(HttpResponseStatus.NOT_FOUND, "text/plain", "the part is not in quarantine\n");
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private <T> T onLoop(Callable<T> task)
      throws ExecutionException, TimeoutException, InterruptedException {
    Future<T> result = loop.eventLoop().submit(task);
    return result.get(SNAPSHOT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }

  private static FullHttpResponse text(HttpResponseStatus status, String type, String body) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
    return response;
  }
}
