package org.coltsfootvale.router.forward;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import okhttp3.Headers;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.error.Outcome;
import org.coltsfootvale.core.model.OrganisationId;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.core.support.Service;
import org.coltsfootvale.protocol.ForwardResponder;
import org.coltsfootvale.protocol.wire.ForwardRequest;
import org.coltsfootvale.protocol.wire.Header;
import org.coltsfootvale.router.request.Drain;
import org.coltsfootvale.router.request.IncomingRequest;
import org.coltsfootvale.router.request.Outcomes;
import org.coltsfootvale.router.request.RequestHandler;
import org.coltsfootvale.router.request.ServingMetrics;
import org.jspecify.annotations.Nullable;

/** Serves requests that peers forward to this router as the home of their idempotency keys. */
public final class ForwardService implements Service {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
  private static final String PATH = "forwarded";
  private static final long IDLE_SECONDS = 10;

  private final RouterIncarnation self;
  private final RequestHandler handler;
  private final Drain drain;
  private final ServingMetrics metrics;
  private final InstantSource clock;
  private final int threadsMax;
  private final AtomicLong threadCount = new AtomicLong();
  private volatile @Nullable ThreadPoolExecutor executor;

  /**
   * Creates the service.
   *
   * @param threadsMax the maximum number of concurrent forwarded requests; more are refused
   */
  public ForwardService(
      RouterIncarnation self,
      RequestHandler handler,
      Drain drain,
      ServingMetrics metrics,
      InstantSource clock,
      int threadsMax) {
    this.self = self;
    this.handler = handler;
    this.drain = drain;
    this.metrics = metrics;
    this.clock = clock;
    this.threadsMax = threadsMax;
  }

  @Override
  public void start() {
    executor =
        new ThreadPoolExecutor(
            0,
            threadsMax,
            IDLE_SECONDS,
            TimeUnit.SECONDS,
            new SynchronousQueue<>(),
            task -> {
              Thread thread = new Thread(task, "forward-" + threadCount.incrementAndGet());
              thread.setDaemon(true);
              return thread;
            });
  }

  @Override
  public void stop() {
    ThreadPoolExecutor running = executor;
    executor = null;
    if (running != null) {
      running.shutdownNow();
    }
  }

  /** Starts serving a forwarded request; never blocks. */
  public void onForward(
      RouterIncarnation from, ForwardRequest request, ForwardResponder responder) {
    if (request.getHomeIncarnation() != self.number()) {
      responder.fail(
          ColtsfootvaleException.outcomeUnknown(
              ErrorKind.HOME_LOST, "the key's home has been replaced by " + self));
      return;
    }
    ThreadPoolExecutor running = executor;
    try {
      if (running == null) {
        throw new RejectedExecutionException("the service is stopped");
      }
      running.execute(() -> serve(request, responder));
    } catch (RejectedExecutionException e) {
      responder.fail(
          new ColtsfootvaleException(
              ErrorKind.OVERLOADED,
              Outcome.UNKNOWN,
              "the key's home serves as many forwarded requests as it can",
              RETRY_AFTER,
              e));
    }
  }

  private void serve(ForwardRequest request, ForwardResponder responder) {
    PeerAnswer answer = new PeerAnswer(responder, request.getRequestId());
    responder.onCancel(answer::cancel);
    try {
      registerRequest();
      try {
        handler.serve(toIncomingRequest(request), answer);
        metrics.succeeded(PATH);
      } finally {
        drain.exit();
      }
    } catch (ColtsfootvaleException e) {
      fail(answer, e);
    } catch (RuntimeException e) {
      LOGGER.atSevere().withCause(e).log(
          "forwarded request %s failed with an internal error", request.getRequestId());
      ColtsfootvaleException error =
          new ColtsfootvaleException(
              ErrorKind.INTERNAL, Outcome.UNKNOWN, "the router failed", null, e);
      fail(answer, error);
    }
  }

  private void fail(PeerAnswer answer, ColtsfootvaleException error) {
    metrics.failed(PATH, error);
    try {
      answer.fail(error);
    } catch (ColtsfootvaleException disconnected) {
      metrics.callerDisconnected();
    }
  }

  private void registerRequest() {
    try {
      drain.enter();
    } catch (ColtsfootvaleException e) {
      throw Outcomes.beforeKeyLookup(e);
    }
  }

  private IncomingRequest toIncomingRequest(ForwardRequest request) {
    Headers.Builder headers = new Headers.Builder();
    for (Header header : request.getHeadersList()) {
      headers.addUnsafeNonAscii(header.getName(), header.getValue());
    }
    return new IncomingRequest(
        request.getRequestId(),
        new OrganisationId(request.getOrganisation()),
        request.getMethod(),
        request.getPath(),
        request.getQuery().isEmpty() ? null : request.getQuery(),
        headers.build(),
        request.getBody().toByteArray(),
        clock.instant().plusMillis(request.getDeadlineMillis()),
        true);
  }
}
