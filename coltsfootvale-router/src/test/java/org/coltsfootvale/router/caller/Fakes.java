package org.coltsfootvale.router.caller;

import java.lang.reflect.Proxy;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.membership.Membership;
import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.model.OrganisationId;
import org.coltsfootvale.core.model.RouterId;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.core.once.IdempotencyDecision;
import org.coltsfootvale.core.once.IdempotencyKey;
import org.coltsfootvale.core.once.IdempotencyRegistry;
import org.coltsfootvale.core.once.KeyPrefixes;
import org.coltsfootvale.core.once.StoredAnswer;
import org.coltsfootvale.core.placement.CacheHint;
import org.coltsfootvale.core.placement.ContinuationTokens;
import org.coltsfootvale.core.placement.EngineSelector;
import org.coltsfootvale.core.placement.PlacementRequest;
import org.coltsfootvale.core.placement.Reservation;
import org.coltsfootvale.core.retry.AttemptFailure;
import org.coltsfootvale.core.retry.AttemptFailure.Stage;
import org.coltsfootvale.core.retry.CircuitBreakers;
import org.coltsfootvale.core.retry.RequestTraits;
import org.coltsfootvale.core.retry.RetryDecision;
import org.coltsfootvale.core.retry.RetryPolicy;
import org.jspecify.annotations.Nullable;

/** Fakes of core's collaborators. */
final class Fakes {

  static final RouterIncarnation SELF = new RouterIncarnation(new RouterId("r1"), 1);
  static final RouterIncarnation HOME = new RouterIncarnation(new RouterId("r2"), 7);

  private Fakes() {}

  /** Selects the first engine that is not excluded. */
  record FirstEngineSelector(List<EngineId> engines, Queue<PlacementRequest> seen)
      implements EngineSelector {

    @Override
    public Reservation select(PlacementRequest request) {
      seen.add(request);
      for (EngineId engine : engines) {
        if (!request.excluded().contains(engine)) {
          return new FixedReservation(engine);
        }
      }
      throw ColtsfootvaleException.notRun(
          ErrorKind.NO_BACKEND, "no engine is left", Duration.ofSeconds(1));
    }
  }

  record FixedReservation(EngineId engine) implements Reservation {
    @Override
    public long engineIncarnation() {
      return 5;
    }

    @Override
    public int cachedTokensExpected() {
      return 0;
    }

    @Override
    public @Nullable EngineId importFrom() {
      return null;
    }

    @Override
    public int outstandingRequestsMax() {
      return 9;
    }

    @Override
    public void onPrefilled() {}

    @Override
    public void onGenerated(int tokens) {}

    @Override
    public void release() {}
  }

  /** Issues continuation tokens in plain text. */
  static final class PlainTextTokens implements ContinuationTokens {
    @Override
    public String issue(OrganisationId organisation, String chat, CacheHint hint) {
      return organisation + "|" + chat + "|" + hint.engine() + "|" + hint.cachedTokens();
    }

    @Override
    public Optional<CacheHint> verify(OrganisationId organisation, String chat, String token) {
      String[] parts = token.split("\\|", -1);
      if (parts.length != 4) {
        throw ColtsfootvaleException.notRun(ErrorKind.MALFORMED_REQUEST, "no token");
      }
      if (!parts[0].equals(organisation.value()) || !parts[1].equals(chat)) {
        throw ColtsfootvaleException.notRun(ErrorKind.FORBIDDEN, "another chat's token");
      }
      return Optional.of(
          new CacheHint(new EngineId(parts[2]), 5, Integer.parseInt(parts[3]), Instant.EPOCH));
    }
  }

  /** Retries repeatable requests up to three times without delay. */
  static final class ImmediateRetryPolicy implements RetryPolicy {
    @Override
    public void requestStarted() {}

    @Override
    public RetryDecision decide(RequestTraits traits, int attempts, AttemptFailure failure) {
      boolean tryAgain = attempts < 4 && failure.kind() != ErrorKind.DEADLINE_EXCEEDED;
      Stage stage = failure.stage();
      boolean safe = stage == Stage.NOT_SENT || stage == Stage.REFUSED;
      if (tryAgain && stage == Stage.PARTIAL && traits.resumable()) {
        return new RetryDecision.Resume(Duration.ZERO);
      }
      if (tryAgain && (safe || (stage == Stage.SENT && traits.repeatable()))) {
        return new RetryDecision.Failover(Duration.ZERO);
      }
      return new RetryDecision.GiveUp(
          safe
              ? ColtsfootvaleException.notRun(failure.kind(), failure.detail())
              : ColtsfootvaleException.outcomeUnknown(failure.kind(), failure.detail()));
    }
  }

  static final class ClosedBreakers implements CircuitBreakers {
    @Override
    public boolean tryAcquire(String backend) {
      return true;
    }

    @Override
    public boolean isClosed(String backend) {
      return true;
    }

    @Override
    public void onSuccess(String backend) {}

    @Override
    public void onFailure(String backend) {}
  }

  /** Records the engines that are reported as leaving or silent. */
  static Membership membership(Queue<String> reports) {
    return (Membership)
        Proxy.newProxyInstance(
            Fakes.class.getClassLoader(),
            new Class<?>[] {Membership.class},
            (proxy, method, arguments) -> {
              reports.add(method.getName() + " " + arguments[0]);
              return null;
            });
  }

  /** Keys with {@code r2.} have another home; {@code bad} is malformed, {@code old} expired. */
  static final class FixedKeyPrefixes implements KeyPrefixes {
    @Override
    public String mint(RouterIncarnation home) {
      return home.id().value();
    }

    @Override
    public IdempotencyKey parse(OrganisationId organisation, String text) {
      if (text.startsWith("bad")) {
        throw ColtsfootvaleException.notRun(ErrorKind.MALFORMED_KEY, "the key is not authentic");
      }
      if (text.startsWith("old")) {
        throw ColtsfootvaleException.notRun(ErrorKind.KEY_EXPIRED, "the key has expired");
      }
      RouterIncarnation home = text.startsWith("r2.") ? HOME : SELF;
      return new IdempotencyKey(organisation, text, home, Instant.MAX);
    }
  }

  /** Runs each key once; an execution with outcome NOT_RUN is removed. */
  static final class InMemoryIdempotencyRegistry implements IdempotencyRegistry {
    final Map<IdempotencyKey, CompletableFuture<StoredAnswer>> answers = new ConcurrentHashMap<>();
    final Queue<String> ends = new ConcurrentLinkedQueue<>();
    private final RouterIncarnation self;
    volatile boolean claimExpired;

    InMemoryIdempotencyRegistry(RouterIncarnation self) {
      this.self = self;
    }

    @Override
    public IdempotencyDecision begin(IdempotencyKey key, long fingerprint) {
      if (!self.equals(key.home())) {
        return new IdempotencyDecision.Forward(Fakes.HOME);
      }
      CompletableFuture<StoredAnswer> fresh = new CompletableFuture<>();
      CompletableFuture<StoredAnswer> existing = answers.putIfAbsent(key, fresh);
      if (existing != null) {
        return new IdempotencyDecision.Attach(existing);
      }
      IdempotencyDecision run = new IdempotencyDecision.Run(execution(key, fresh));
      return key.text().startsWith("claim")
          ? new IdempotencyDecision.Claim(CompletableFuture.completedFuture(run))
          : run;
    }

    private IdempotencyDecision.Execution execution(
        IdempotencyKey key, CompletableFuture<StoredAnswer> answer) {
      return new IdempotencyDecision.Execution() {
        @Override
        public void beforeSend() {
          if (claimExpired) {
            throw ColtsfootvaleException.notRun(ErrorKind.HOME_LOST, "the claim has expired");
          }
        }

        @Override
        public void finished(StoredAnswer stored) {
          ends.add("finished");
          answer.complete(stored);
        }

        @Override
        public void notRun() {
          ends.add("notRun");
          answers.remove(key);
        }

        @Override
        public void outcomeUnknown(ColtsfootvaleException error) {
          ends.add("unknown");
          answer.completeExceptionally(error);
        }
      };
    }

    @Override
    public int size() {
      return answers.size();
    }
  }
}
