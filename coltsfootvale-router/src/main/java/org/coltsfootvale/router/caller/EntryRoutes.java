package org.coltsfootvale.router.caller;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.javalin.Javalin;
import io.javalin.http.Context;
import java.time.Duration;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.Supplier;
import okhttp3.Headers;
import org.coltsfootvale.core.entry.EntryAnswer;
import org.coltsfootvale.core.entry.EntryAnswers;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.error.Outcome;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.core.once.KeyPrefixes;
import org.coltsfootvale.router.request.ProblemJson;
import org.jspecify.annotations.Nullable;

/** The routes without authentication: entry answers, key prefixes and health. */
final class EntryRoutes {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final RouterIncarnation self;
  private final EntryAnswers answers;
  private final KeyPrefixes prefixes;
  private final Duration prefixLifetime;
  private final BooleanSupplier ready;
  private final Supplier<String> requestIds;

  EntryRoutes(
      RouterIncarnation self,
      EntryAnswers answers,
      KeyPrefixes prefixes,
      Duration prefixLifetime,
      BooleanSupplier ready,
      Supplier<String> requestIds) {
    this.self = self;
    this.answers = answers;
    this.prefixes = prefixes;
    this.prefixLifetime = prefixLifetime;
    this.ready = ready;
    this.requestIds = requestIds;
  }

  @JsonInclude(JsonInclude.Include.NON_NULL)
  private record Entry(List<String> addresses, long lifetimeMillis, @Nullable String keyPrefix) {}

  private record KeyPrefix(String keyPrefix, long expiresInMillis) {}

  private record Health(boolean ready) {}

  /**
   * Registers the routes.
   *
   * @param headers returns the headers of an answer for a request's id
   */
  void register(Javalin app, Function<String, Headers> headers) {
    app.get("/v1/entry", context -> answer(context, headers, this::entry));
    app.get("/v1/key-prefix", context -> answer(context, headers, this::keyPrefix));
    app.get("/health", this::health);
  }

  private Entry entry() {
    EntryAnswer answer = answers.answer();
    List<String> addresses =
        answer.addresses().stream().map(address -> "http://" + address).toList();
    return new Entry(addresses, answer.lifetime().toMillis(), prefixes.mint(answer.first()));
  }

  private KeyPrefix keyPrefix() {
    return new KeyPrefix(prefixes.mint(self), prefixLifetime.toMillis());
  }

  private void health(Context context) {
    boolean isReady = ready.getAsBoolean();
    context.status(isReady ? 200 : 503).contentType("application/json");
    context.result(json(new Health(isReady)));
  }

  private void answer(Context context, Function<String, Headers> headers, Supplier<Object> body) {
    String requestId = requestIds.get();
    Headers common = headers.apply(requestId);
    common.forEach(header -> context.header(header.getFirst(), header.getSecond()));
    try {
      context.contentType("application/json").result(json(body.get()));
    } catch (ColtsfootvaleException e) {
      ProblemJson.headers(e)
          .forEach(header -> context.header(header.getFirst(), header.getSecond()));
      context.status(e.kind().httpStatus()).result(ProblemJson.write(e, requestId));
    }
  }

  private static byte[] json(Object body) {
    try {
      return MAPPER.writeValueAsBytes(body);
    } catch (JsonProcessingException e) {
      throw new ColtsfootvaleException(
          ErrorKind.INTERNAL, Outcome.UNKNOWN, "the answer could not be written", null, e);
    }
  }
}
