package org.coltsfootvale.router.caller;

import com.google.common.flogger.FluentLogger;
import io.javalin.Javalin;
import io.javalin.http.Context;
import io.javalin.http.HandlerType;
import java.time.Duration;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import okhttp3.Headers;
import org.coltsfootvale.core.entry.EntryAnswers;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.error.Outcome;
import org.coltsfootvale.core.model.OrganisationId;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.core.once.KeyPrefixes;
import org.coltsfootvale.core.release.FleetState;
import org.coltsfootvale.router.request.CallerHeaders;
import org.coltsfootvale.router.request.Drain;
import org.coltsfootvale.router.request.IncomingRequest;
import org.coltsfootvale.router.request.Outcomes;
import org.coltsfootvale.router.request.PlainServiceHandler;
import org.coltsfootvale.router.request.RequestDispatcher;
import org.coltsfootvale.router.request.RequestHandler;
import org.coltsfootvale.router.request.ServingMetrics;
import org.coltsfootvale.router.request.ServingSettings;
import org.eclipse.jetty.server.Request;

/** The routes of callers. */
public final class CallerRoutes {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final List<HandlerType> SERVICE_METHODS =
      List.of(
          HandlerType.GET,
          HandlerType.HEAD,
          HandlerType.POST,
          HandlerType.PUT,
          HandlerType.PATCH,
          HandlerType.DELETE,
          HandlerType.OPTIONS);
  private static final String CHATS = "chat";
  private static final String SERVICES = "services";

  private final Collaborators with;
  private final ServingSettings settings;
  private final OrganisationKeys keys;
  private final RequestReader reader;
  private final EntryRoutes entry;

  /** Creates the routes. */
  public CallerRoutes(Collaborators collaborators, ServingSettings settings) {
    this.with = collaborators;
    this.settings = settings;
    this.keys = new OrganisationKeys(collaborators.fleet());
    this.reader = new RequestReader(settings, collaborators.clock());
    this.entry =
        new EntryRoutes(
            collaborators.self(),
            collaborators.entryAnswers(),
            collaborators.prefixes(),
            collaborators.prefixLifetime(),
            collaborators.ready(),
            collaborators.requestIds());
  }

  /**
   * What the routes need.
   *
   * @param self this router
   * @param fleet the state of the fleet
   * @param ready whether this router may serve
   * @param entryAnswers tells callers which routers to use
   * @param prefixes mints key prefixes
   * @param prefixLifetime how long a minted key prefix holds
   * @param requestIds makes request ids, unique over all routers and time
   * @param handler serves authenticated requests
   * @param drain counts requests in progress
   * @param metrics counts outcomes
   * @param clock the clock
   */
  public record Collaborators(
      RouterIncarnation self,
      Supplier<FleetState> fleet,
      BooleanSupplier ready,
      EntryAnswers entryAnswers,
      KeyPrefixes prefixes,
      Duration prefixLifetime,
      Supplier<String> requestIds,
      RequestHandler handler,
      Drain drain,
      ServingMetrics metrics,
      java.time.InstantSource clock) {}

  /** Registers the routes. */
  public void register(Javalin app) {
    entry.register(app, this::headers);
    app.post(RequestDispatcher.CHAT_PATH, context -> serve(context, CHATS));
    for (HandlerType method : SERVICE_METHODS) {
      app.addHttpHandler(method, "/v1/services/{service}", context -> serve(context, SERVICES));
      app.addHttpHandler(
          method, "/v1/services/{service}/<path>", context -> serve(context, SERVICES));
    }
  }

  /** Returns the headers that every answer carries. */
  private Headers headers(String requestId) {
    Headers.Builder headers =
        new Headers.Builder()
            .add(CallerHeaders.REQUEST_ID, requestId)
            .add(CallerHeaders.KEY_PREFIX, with.prefixes().mint(with.self()));
    if (with.drain().draining()) {
      headers.add(CallerHeaders.ASK_AGAIN, "true");
    }
    return headers.build();
  }

  private void serve(Context context, String path) {
    String requestId = with.requestIds().get();
    ServletAnswer answer =
        new ServletAnswer(context.res(), headers(requestId), requestId, () -> abort(context));
    try {
      enter(context);
      try {
        with.handler().serve(accept(context, requestId, path), answer);
        with.metrics().succeeded(path);
      } finally {
        with.drain().exit();
      }
    } catch (ColtsfootvaleException e) {
      fail(answer, path, e);
    } catch (RuntimeException e) {
      LOGGER.atSevere().withCause(e).log("request %s failed within the router", requestId);
      fail(answer, path, internal(e));
    }
  }

  private void enter(Context context) {
    try {
      with.drain().enter();
    } catch (ColtsfootvaleException e) {
      throw refused(context, e);
    }
  }

  private IncomingRequest accept(Context context, String requestId, String path) {
    try {
      return read(context, requestId, path);
    } catch (ColtsfootvaleException e) {
      throw refused(context, e);
    }
  }

  private static ColtsfootvaleException refused(Context context, ColtsfootvaleException error) {
    boolean keyed = context.req().getHeader(CallerHeaders.IDEMPOTENCY_KEY) != null;
    return keyed ? Outcomes.beforeKeyIsKnown(error) : error;
  }

  private IncomingRequest read(Context context, String requestId, String path) {
    OrganisationId organisation = keys.authenticate(context.req().getHeader("Authorization"));
    if (!with.ready().getAsBoolean()) {
      throw ColtsfootvaleException.notRun(
          ErrorKind.NOT_READY, "this router does not know the state of the fleet yet");
    }
    String uri = context.req().getRequestURI();
    return new IncomingRequest(
        requestId,
        organisation,
        context.req().getMethod(),
        uri,
        context.req().getQueryString(),
        RequestReader.headers(context.req()),
        RequestReader.body(context.req(), bodyBytesMax(uri, path)),
        reader.deadline(context.req().getHeader(CallerHeaders.DEADLINE_MILLIS)),
        false);
  }

  private int bodyBytesMax(String uri, String path) {
    return path.equals(CHATS)
        ? settings.chatBodyBytesMax()
        : PlainServiceHandler.find(with.fleet().get(), uri).bodyBytesMax();
  }

  private void fail(ServletAnswer answer, String path, ColtsfootvaleException error) {
    with.metrics().failed(path, error);
    if (error.kind() == ErrorKind.CANCELLED) {
      with.metrics().callerGone();
    }
    try {
      answer.fail(error);
    } catch (ColtsfootvaleException gone) {
      with.metrics().callerGone();
    }
  }

  private static ColtsfootvaleException internal(RuntimeException cause) {
    return new ColtsfootvaleException(
        ErrorKind.INTERNAL, Outcome.UNKNOWN, "the router failed", null, cause);
  }

  private static void abort(Context context) {
    Request request = Request.getBaseRequest(context.req());
    request.getHttpChannel().abort(new java.io.IOException("the answer is incomplete"));
  }
}
