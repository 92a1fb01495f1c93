package org.coltsfootvale.router.lifecycle;

import com.google.common.flogger.FluentLogger;
import io.javalin.Javalin;
import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.coltsfootvale.core.membership.Membership;
import org.coltsfootvale.core.release.ReleaseLog;
import org.coltsfootvale.core.settings.RouterSettings;
import org.coltsfootvale.core.support.Service;
import org.coltsfootvale.protocol.PeerTransport;
import org.coltsfootvale.router.control.ControlLoops;
import org.coltsfootvale.router.request.Drain;

/**
 * Starts the components of a router process in order and stops them gracefully.
 *
 * <p>A graceful stop withdraws this router from entry answers, serves until the last entry answer
 * that names it has expired, waits for the requests in progress, and then stops all components.
 */
public final class RouterServer implements Service {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** The time within which gossip informs all routers that this one is leaving. */
  private static final Duration LEAVE_PROPAGATION_TIME = Duration.ofSeconds(3);

  private final RouterSettings settings;
  private final PeerTransport transport;
  private final ControlLoops loops;
  private final Javalin app;
  private final Drain drain;
  private final Membership membership;
  private final ExecutorService executor;

  /** Creates a server without starting its components. */
  public RouterServer(
      RouterSettings settings,
      PeerTransport transport,
      ControlLoops loops,
      Javalin app,
      Drain drain,
      Membership membership,
      ReleaseLog releases,
      ExecutorService executor) {
    this.settings = settings;
    this.transport = transport;
    this.loops = loops;
    this.app = app;
    this.drain = drain;
    this.membership = membership;
    this.executor = executor;
    releases.addListener(membership::onFleetState);
    releases.addListener(state -> membership.onAppliedRevision(state.revision()));
  }

  @Override
  public void start() {
    transport.start();
    app.start(settings.listen().callers().host(), settings.listen().callers().port());
    loops.start();
    logger.atInfo().log(
        "router started: callers on %s, peers on %s",
        settings.listen().callers(), settings.listen().peers());
  }

  /** Returns the port that callers connect to. */
  public int callerPort() {
    return app.port();
  }

  /** Stops after the entry answers that name this router have expired and requests have ended. */
  public void stopGracefully() {
    logger.atInfo().log("graceful stop begins with %d requests in progress", drain.inProgress());
    membership.leave();
    drain.begin();
    sleep(LEAVE_PROPAGATION_TIME.plusMillis(settings.requests().entryLifetimeMillis()));
    awaitRequests();
    stop();
  }

  @Override
  public void stop() {
    drain.close();
    app.stop();
    loops.stop();
    transport.stop();
    executor.shutdownNow();
    logger.atInfo().log("router stopped with %d requests in progress", drain.inProgress());
  }

  private void awaitRequests() {
    try {
      drain.close().get(settings.requests().deadlineMillisMax(), TimeUnit.MILLISECONDS);
    } catch (TimeoutException | ExecutionException e) {
      logger.atWarning().log(
          "%d requests still in progress after the maximum deadline", drain.inProgress());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void sleep(Duration duration) {
    try {
      Thread.sleep(duration.toMillis());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
