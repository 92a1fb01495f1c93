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

/** The HTTP routes for callers. */
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

  private final Collaborators collaborators;
  private final ServingSettings settings;
  private final OrganisationAuthenticator authenticator;
  private final RequestReader reader;
  private final EntryRoutes entry;

  /** Creates the routes. */
  public CallerRoutes(Collaborators collaborators, ServingSettings settings) {
    this.collaborators = collaborators;
    this.settings = settings;
    this.authenticator = new OrganisationAuthenticator(collaborators.fleet());
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
   * The collaborators of the routes.
   *
   * @param self this router
   * @param fleet the state of the fleet
   * @param ready whether this router is ready to serve requests
   * @param entryAnswers provides the addresses of routers for callers
   * @param prefixes issues key prefixes
   * @param prefixLifetime the time to live of an issued key prefix
   * @param requestIds generates request ids, unique across routers and over time
   * @param handler serves authenticated requests
   * @param drain counts requests in progress
   * @param metrics the meters of served requests
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
    entry.register(app, this::commonHeaders);
    app.post(RequestDispatcher.CHAT_PATH, context -> serve(context, CHATS));
    for (HandlerType method : SERVICE_METHODS) {
      app.addHttpHandler(method, "/v1/services/{service}", context -> serve(context, SERVICES));
      app.addHttpHandler(
          method, "/v1/services/{service}/<path>", context -> serve(context, SERVICES));
    }
  }

  /** Returns the headers added to every answer. */
  private Headers commonHeaders(String requestId) {
    Headers.Builder headers =
        new Headers.Builder()
            .add(CallerHeaders.REQUEST_ID, requestId)
            .add(CallerHeaders.KEY_PREFIX, collaborators.prefixes().mint(collaborators.self()));
    if (collaborators.drain().draining()) {
      headers.add(CallerHeaders.ASK_AGAIN, "true");
    }
    return headers.build();
  }

  private void serve(Context context, String path) {
    String requestId = collaborators.requestIds().get();
    ServletAnswer answer =
        new ServletAnswer(context.res(), commonHeaders(requestId), requestId, () -> abort(context));
    try {
      registerRequest(context);
      try {
        collaborators.handler().serve(accept(context, requestId, path), answer);
        collaborators.metrics().succeeded(path);
      } finally {
        collaborators.drain().exit();
      }
    } catch (ColtsfootvaleException e) {
      fail(answer, path, e);
    } catch (RuntimeException e) {
      LOGGER.atSevere().withCause(e).log("request %s failed with an internal error", requestId);
      fail(answer, path, internal(e));
    }
  }

  private void registerRequest(Context context) {
    try {
      collaborators.drain().enter();
    } catch (ColtsfootvaleException e) {
      throw withKeyOutcome(context, e);
    }
  }

  private IncomingRequest accept(Context context, String requestId, String path) {
    try {
      return read(context, requestId, path);
    } catch (ColtsfootvaleException e) {
      throw withKeyOutcome(context, e);
    }
  }

  private static ColtsfootvaleException withKeyOutcome(
      Context context, ColtsfootvaleException error) {
    boolean keyed = context.req().getHeader(CallerHeaders.IDEMPOTENCY_KEY) != null;
    return keyed ? Outcomes.beforeKeyLookup(error) : error;
  }

  private IncomingRequest read(Context context, String requestId, String path) {
    OrganisationId organisation =
        authenticator.authenticate(context.req().getHeader("Authorization"));
    if (!collaborators.ready().getAsBoolean()) {
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
        : PlainServiceHandler.find(collaborators.fleet().get(), uri).bodyBytesMax();
  }

  private void fail(ServletAnswer answer, String path, ColtsfootvaleException error) {
    collaborators.metrics().failed(path, error);
    if (error.kind() == ErrorKind.CANCELLED) {
      collaborators.metrics().callerDisconnected();
    }
    try {
      answer.fail(error);
    } catch (ColtsfootvaleException disconnected) {
      collaborators.metrics().callerDisconnected();
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
