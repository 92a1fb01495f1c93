package org.coltsfootvale.router.wiring;

import io.javalin.Javalin;
import org.coltsfootvale.core.settings.RouterSettings;
import org.coltsfootvale.router.caller.CallerRoutes;
import org.coltsfootvale.router.operator.OperatorRoutes;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** Makes the HTTP server for callers and operators. */
final class CallerHttpServer {

  private static final int SPARE_THREADS = 64;
  private static final int THREADS_MIN = 16;
  private static final int THREAD_IDLE_MILLIS = 30_000;

  private CallerHttpServer() {}

  /** Returns a server that is not started. Each request in progress holds a thread. */
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
            });
    callers.register(app);
    operators.register(app);
    return app;
  }
}
