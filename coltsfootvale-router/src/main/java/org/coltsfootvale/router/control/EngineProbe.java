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
import org.coltsfootvale.router.backend.BoundedBody;

/** Probes the load of the engines that this router observes, a bounded number per tick. */
public final class EngineProbe {

  /** Bounds the probe traffic regardless of the number of observed engines. */
  private static final int PROBES_PER_TICK = 2;

  private static final long REPORT_BYTES_MAX = 64 * 1024;

  private final OkHttpClient client;
  private final ObjectMapper mapper;
  private final Membership membership;
  private final Supplier<FleetState> state;
  private final InstantSource clock;
  private final Counter probes;
  private final Counter unansweredProbes;
  private final Set<EngineId> inProgress = ConcurrentHashMap.newKeySet();
  private int nextIndex;

  /**
   * Creates a probe that is driven by {@link #tick}.
   *
   * @param timeout after which a probe counts as unanswered
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
    this.unansweredProbes = meters.counter("coltsfootvale.engine.probes.silent");
  }

  /** Probes the next observed engines in turn, except those with a probe in progress. */
  public void tick() {
    List<EngineId> observed = membership.observedEngines();
    int probed = Math.min(PROBES_PER_TICK, observed.size());
    for (int i = 0; i < probed; i++) {
      EngineId engine = observed.get(Math.floorMod(nextIndex++, observed.size()));
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
                onProbeFailed(engine);
              }

              @Override
              public void onResponse(Call call, Response response) {
                onProbeResponse(engine, response);
              }
            });
  }

  private void onProbeFailed(EngineId engine) {
    inProgress.remove(engine);
    unansweredProbes.increment();
    membership.onEngineSilent(engine);
  }

  private void onProbeResponse(EngineId engine, Response response) {
    try (ResponseBody body = response.body()) {
      if (!response.isSuccessful()) {
        onProbeFailed(engine);
        return;
      }
      JsonNode report = mapper.readTree(BoundedBody.read(body, REPORT_BYTES_MAX));
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
      onProbeFailed(engine);
    }
  }
}
