package org.coltsfootvale.core.replay;

import com.dynatrace.hash4j.hashing.Hashing;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Function;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.error.Failures;
import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.model.OrganisationId;
import org.coltsfootvale.core.model.RouterId;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.core.once.DefaultIdempotencyRegistry;
import org.coltsfootvale.core.once.DefaultKeyPrefixes;
import org.coltsfootvale.core.once.IdempotencyDecision;
import org.coltsfootvale.core.once.IdempotencyLimits;
import org.coltsfootvale.core.once.StoredAnswer;
import org.coltsfootvale.core.orders.DefaultOrderSender;
import org.coltsfootvale.core.orders.OrderTimings;
import org.coltsfootvale.core.release.DefaultFleetStateReducer;
import org.coltsfootvale.core.release.DefaultReleaseLog;
import org.coltsfootvale.core.release.ReleaseLog;
import org.coltsfootvale.core.release.YamlReleaseNoteCodec;
import org.coltsfootvale.core.support.Checks;

/** The routers, the platform, the engines and the backend server of one replay. */
final class ReplayEnvironment {

  private static final byte[] SECRET =
      "the fleet's secret in a replay".getBytes(StandardCharsets.UTF_8);
  private static final Duration PREFIX_LIFETIME = Duration.ofMinutes(15);
  private static final long TICK_MILLIS = 1000;
  private static final String PENDING = "pending";
  private static final String DONE = "done";

  private final ScriptedKeyValueStore store = new ScriptedKeyValueStore();
  private final ReplayEngines engines = new ReplayEngines();
  private final YamlReleaseNoteCodec codec = new YamlReleaseNoteCodec();
  private final Map<String, ReplayRouter> routers = new HashMap<>();
  private final Set<String> paused = new HashSet<>();
  private final Set<RouterIncarnation> goneRouters = new HashSet<>();
  private final Map<String, String> prefixes = new HashMap<>();
  private final Map<String, IdempotencyDecision.Execution> runs = new HashMap<>();
  private final Map<String, TraceEvent.Request> requests = new HashMap<>();
  private final Map<String, Integer> backendRuns = new HashMap<>();
  private Instant now = Instant.ofEpochSecond(1_000_000);
  private long monotonicNanos;
  private long nonce;

  /** Performs an event and returns its outcome. */
  String perform(TraceEvent event) {
    if (event instanceof TraceEvent.Request request) {
      return request(request);
    }
    if (event instanceof TraceEvent.Send send) {
      return send(send);
    }
    if (event instanceof TraceEvent.End end) {
      return end(end);
    }
    if (event instanceof TraceEvent.Runs count) {
      return String.valueOf(backendRuns.getOrDefault(runKey(count.organisation(), count.key()), 0));
    }
    if (event instanceof TraceEvent.Submit submit) {
      return submit(submit);
    }
    if (event instanceof TraceEvent.Refresh refresh) {
      return describeOutcome(router(refresh.router()).log().refresh(), String::valueOf);
    }
    if (event instanceof TraceEvent.State state) {
      ReleaseLog log = router(state.router()).log();
      return log.current().revision() + (log.ready() ? " ready" : " not ready");
    }
    if (event instanceof TraceEvent.Engine engine) {
      return engines.modelVersion(new EngineId(engine.engine()));
    }
    applyChange(event);
    return DONE;
  }

  private void applyChange(TraceEvent event) {
    if (event instanceof TraceEvent.Start start) {
      start(start);
    } else if (event instanceof TraceEvent.Gone gone) {
      goneRouters.add(new RouterIncarnation(new RouterId(gone.router()), gone.incarnation()));
    } else if (event instanceof TraceEvent.Pause pause) {
      paused.add(pause.router());
    } else if (event instanceof TraceEvent.Wake wake) {
      paused.remove(wake.router());
    } else if (event instanceof TraceEvent.Advance advance) {
      advance(advance.millis());
    } else if (event instanceof TraceEvent.Platform platform) {
      store.setFault(platform.fault());
    } else if (event instanceof TraceEvent.LoseReplies lose) {
      store.loseReplies(lose.call(), lose.count());
    } else if (event instanceof TraceEvent.ReleaseCalls) {
      store.releaseHeld();
    } else if (event instanceof TraceEvent.Mint mint) {
      ReplayRouter router = router(mint.router());
      prefixes.put(mint.name(), router.prefixes().mint(router.self()));
    } else if (event instanceof TraceEvent.Gossip gossip) {
      gossip(gossip);
    } else if (event instanceof TraceEvent.HoldOrders hold) {
      engines.hold(new RouterId(hold.router()));
    } else if (event instanceof TraceEvent.DeliverOrders deliver) {
      engines.deliver(new RouterId(deliver.router()));
    }
  }

  private void start(TraceEvent.Start start) {
    RouterIncarnation self =
        new RouterIncarnation(new RouterId(start.router()), start.incarnation());
    DefaultReleaseLog log =
        new DefaultReleaseLog(store, codec, new DefaultFleetStateReducer(), () -> now);
    log.addListener(engines::onFleetState);
    DefaultIdempotencyRegistry keys =
        new DefaultIdempotencyRegistry(
            self,
            home -> !goneRouters.contains(home),
            store,
            () -> now,
            () -> monotonicNanos,
            IdempotencyLimits.DEFAULT);
    DefaultOrderSender orders =
        new DefaultOrderSender(
            self,
            store,
            engines.transportOf(self.id()),
            log::current,
            pool -> true,
            () -> monotonicNanos,
            OrderTimings.DEFAULT);
    DefaultKeyPrefixes mint =
        new DefaultKeyPrefixes(List.of(SECRET), PREFIX_LIFETIME, () -> now, () -> nonce++);
    ReplayRouter router = new ReplayRouter(self, mint, keys, log, orders);
    router.tick();
    routers.put(start.router(), router);
    paused.remove(start.router());
  }

  private void advance(long millis) {
    long remaining = millis;
    while (remaining > 0) {
      long step = Math.min(remaining, TICK_MILLIS);
      now = now.plusMillis(step);
      monotonicNanos += Duration.ofMillis(step).toNanos();
      store.advance(Duration.ofMillis(step));
      routers.entrySet().stream()
          .filter(entry -> !paused.contains(entry.getKey()))
          .sorted(Map.Entry.comparingByKey())
          .forEach(entry -> entry.getValue().tick());
      remaining -= step;
    }
  }

  private void gossip(TraceEvent.Gossip gossip) {
    ReleaseLog from = router(gossip.from()).log();
    ReleaseLog to = router(gossip.to()).log();
    to.onPeerRevision(from.current().revision());
    to.applyFromPeer(from.notesAfter(to.current().revision(), Integer.MAX_VALUE));
  }

  private String request(TraceEvent.Request request) {
    ReplayRouter router = router(request.router());
    requests.put(request.run(), request);
    String body = request.body() == null ? "" : request.body();
    long fingerprint = Hashing.komihash5_0().hashCharsToLong(body);
    try {
      IdempotencyDecision decision =
          router
              .keys()
              .begin(
                  router
                      .prefixes()
                      .parse(new OrganisationId(request.organisation()), keyText(request.key())),
                  fingerprint);
      return describeDecision(request.run(), decision);
    } catch (ColtsfootvaleException e) {
      return describeRefusal(e);
    }
  }

  private String describeDecision(String run, IdempotencyDecision decision) {
    if (decision instanceof IdempotencyDecision.Run started) {
      runs.put(run, started.execution());
      return "run";
    }
    if (decision instanceof IdempotencyDecision.Forward forward) {
      return "forward " + forward.home();
    }
    if (decision instanceof IdempotencyDecision.Attach attach) {
      return "attach "
          + describeOutcome(attach.answer(), answer -> String.valueOf(answer.status()));
    }
    IdempotencyDecision.Claim claim = (IdempotencyDecision.Claim) decision;
    return describeOutcome(claim.decision(), resolved -> describeDecision(run, resolved));
  }

  private String send(TraceEvent.Send send) {
    TraceEvent.Request request = requests.get(send.run());
    Checks.argument(request != null, "there is no request '%s'", send.run());
    try {
      execution(send.run()).beforeSend();
    } catch (ColtsfootvaleException e) {
      return describeRefusal(e);
    }
    if (request != null) {
      backendRuns.merge(runKey(request.organisation(), request.key()), 1, Integer::sum);
    }
    return "sent";
  }

  private String end(TraceEvent.End end) {
    IdempotencyDecision.Execution execution = execution(end.run());
    switch (end.as()) {
      case "finished" -> execution.finished(new StoredAnswer(200, Map.of(), new byte[0]));
      case "notRun" -> execution.notRun();
      case "unknown" ->
          execution.outcomeUnknown(
              ColtsfootvaleException.outcomeUnknown(ErrorKind.BACKEND_FAILED, "no answer came"));
      default ->
          throw new IllegalArgumentException(
              "a run ends as finished, notRun or unknown, not as '" + end.as() + "'");
    }
    return DONE;
  }

  private String submit(TraceEvent.Submit submit) {
    try {
      return describeOutcome(
          router(submit.router()).log().submit(codec.readYaml(submit.yaml())),
          note -> "accepted " + note.revision());
    } catch (ColtsfootvaleException e) {
      return describeRefusal(e);
    }
  }

  private static <T> String describeOutcome(
      CompletableFuture<T> future, Function<T, String> format) {
    if (!future.isDone()) {
      return PENDING;
    }
    try {
      return format.apply(future.join());
    } catch (CompletionException e) {
      return describeRefusal(Failures.typed(e));
    }
  }

  private static String describeRefusal(ColtsfootvaleException e) {
    return "refused " + e.kind() + " " + e.outcome().name().toLowerCase(Locale.ROOT);
  }

  private ReplayRouter router(String id) {
    ReplayRouter router = routers.get(id);
    if (router == null) {
      throw new IllegalArgumentException("the router '" + id + "' has not been started");
    }
    return router;
  }

  private IdempotencyDecision.Execution execution(String run) {
    IdempotencyDecision.Execution execution = runs.get(run);
    if (execution == null) {
      throw new IllegalArgumentException("the run '" + run + "' has not begun");
    }
    return execution;
  }

  private String keyText(String key) {
    int dot = key.indexOf('.');
    if (!key.startsWith("$") || dot < 0) {
      return key;
    }
    String prefix = prefixes.get(key.substring(1, dot));
    if (prefix == null) {
      throw new IllegalArgumentException("the prefix of '" + key + "' has not been minted");
    }
    return prefix + key.substring(dot);
  }

  private static String runKey(String organisation, String key) {
    return organisation + " " + key;
  }
}
