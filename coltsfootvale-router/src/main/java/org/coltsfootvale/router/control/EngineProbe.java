package org.coltsfootvale.router.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import okhttp3.ResponseBody;
import org.coltsfootvale.core.membership.Membership;
import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.model.EngineLoad;
import org.coltsfootvale.core.release.EngineSpec;
import org.coltsfootvale.core.release.FleetState;

/** Reads the load of the engines that this router observes, a bounded number at each tick. */
public final class EngineProbe {

  /** Bounds the bytes of probes whatever the number of observed engines. */
  private static final int PROBES_PER_TICK = 2;

  private final OkHttpClient client;
  private final ObjectMapper mapper;
  private final Membership membership;
  private final Supplier<FleetState> state;
  private final InstantSource clock;
  private final Counter probes;
  private final Counter silent;
  private final Set<EngineId> inProgress = ConcurrentHashMap.newKeySet();
  private int turn;

  /**
   * Creates a probe that is driven by {@link #tick}.
   *
   * @param timeout after which an engine counts as silent
   */
  public EngineProbe(
      OkHttpClient client,
      ObjectMapper mapper,
      Membership membership,
      Supplier<FleetState> state,
      InstantSource clock,
      Duration timeout,
      MeterRegistry meters) {
    this.client =
        client.newBuilder().callTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS).build();
    this.mapper = mapper;
    this.membership = membership;
    this.state = state;
    this.clock = clock;
    this.probes = meters.counter("coltsfootvale.engine.probes");
    this.silent = meters.counter("coltsfootvale.engine.probes.silent");
  }

  /** Asks the next observed engines in turn, but none that has not answered the last probe. */
  public void tick() {
    List<EngineId> observed = membership.observedEngines();
    int probed = Math.min(PROBES_PER_TICK, observed.size());
    for (int i = 0; i < probed; i++) {
      EngineId engine = observed.get(Math.floorMod(turn++, observed.size()));
      EngineSpec spec = state.get().engines().get(engine);
      if (spec != null && inProgress.add(engine)) {
        probe(engine, spec.address());
      }
    }
  }

  private void probe(EngineId engine, URI address) {
    probes.increment();
    Request request = new Request.Builder().url(address.resolve("/load").toString()).build();
    client
        .newCall(request)
        .enqueue(
            new Callback() {
              @Override
              public void onFailure(Call call, IOException e) {
                onSilent(engine);
              }

              @Override
              public void onResponse(Call call, Response response) {
                onAnswer(engine, response);
              }
            });
  }

  private void onSilent(EngineId engine) {
    inProgress.remove(engine);
    silent.increment();
    membership.onEngineSilent(engine);
  }

  private void onAnswer(EngineId engine, Response response) {
    try (ResponseBody body = response.body()) {
      if (!response.isSuccessful()) {
        onSilent(engine);
        return;
      }
      JsonNode report = mapper.readTree(body.bytes());
      inProgress.remove(engine);
      membership.onEngineReport(
          engine,
          report.path("incarnation").asLong(),
          report.path("leaving").asBoolean(),
          new EngineLoad(
              report.path("outstandingRequests").asInt(),
              report.path("queuedTokens").asLong(),
              report.path("runningTokens").asLong(),
              clock.instant()));
    } catch (IOException e) {
      onSilent(engine);
    }
  }
}
