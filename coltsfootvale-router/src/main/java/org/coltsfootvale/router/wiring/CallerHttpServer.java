package org.coltsfootvale.router.wiring;

import io.javalin.Javalin;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.settings.RouterSettings;
import org.coltsfootvale.router.caller.CallerRoutes;
import org.coltsfootvale.router.operator.OperatorRoutes;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** Creates the HTTP server for callers and operators. */
final class CallerHttpServer {

  private static final int SPARE_THREADS = 64;
  private static final int THREADS_MIN = 16;
  private static final int THREAD_IDLE_MILLIS = 30_000;

  private static final int ACCEPTORS = 1;
  private static final int SELECTORS = 4;
  private static final int ACCEPT_QUEUE_SIZE = 4_096;

  /** Zero, because each connection holds a lookup table of 96 bytes per unit of this size. */
  private static final int HEADER_CACHE_SIZE = 0;

  private static final int OUTPUT_BUFFER_BYTES = 4_096;

  private CallerHttpServer() {}

  /** Returns an unstarted server. Each request in progress occupies a thread. */
  static Javalin create(CallerRoutes callers, OperatorRoutes operators, RouterSettings settings) {
    int threadsMax = settings.requests().concurrentMax() + SPARE_THREADS;
    QueuedThreadPool threads = new QueuedThreadPool(threadsMax, THREADS_MIN, THREAD_IDLE_MILLIS);
    threads.setName("http");
    Javalin app =
        Javalin.create(
            config -> {
              config.showJavalinBanner = false;
              config.http.maxRequestSize = settings.requests().bodyBytesMax();
              config.jetty.threadPool = threads;
              config.jetty.addConnector(
                  (server, http) -> connector(server, http, settings.listen().callers()));
            });
    callers.register(app);
    operators.register(app);
    return app;
  }

  /** Returns a connector sized for many connections that open at the same time. */
  private static ServerConnector connector(
      Server server, HttpConfiguration http, HostPort address) {
    http.setOutputBufferSize(OUTPUT_BUFFER_BYTES);
    http.setOutputAggregationSize(OUTPUT_BUFFER_BYTES);
    http.setHeaderCacheSize(HEADER_CACHE_SIZE);
    http.setSendServerVersion(false);
    ServerConnector connector =
        new ServerConnector(server, ACCEPTORS, SELECTORS, new HttpConnectionFactory(http));
    connector.setAcceptQueueSize(ACCEPT_QUEUE_SIZE);
    connector.setHost(address.host());
    connector.setPort(address.port());
    return connector;
  }
}
