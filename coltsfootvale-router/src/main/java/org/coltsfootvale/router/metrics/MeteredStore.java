package org.coltsfootvale.router.metrics;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import org.coltsfootvale.core.error.Failures;
import org.coltsfootvale.core.store.RevisionedStore;
import org.coltsfootvale.core.store.StoreChanges;
import org.coltsfootvale.core.store.StoreEra;
import org.coltsfootvale.core.store.StoreException;
import org.coltsfootvale.core.store.StorePage;
import org.jspecify.annotations.Nullable;

/** Decorates a store and counts the calls by kind and result. Thread-safe. */
public final class MeteredStore implements RevisionedStore {

  private final RevisionedStore store;
  private final Map<Key, LongAdder> calls = new ConcurrentHashMap<>();

  /** Creates a store that counts calls and delegates them. */
  public MeteredStore(RevisionedStore store) {
    this.store = store;
  }

  @Override
  public CompletableFuture<StorePage> read(String prefix, String afterKey) {
    return counted("read", store.read(prefix, afterKey));
  }

  @Override
  public CompletableFuture<StoreChanges> awaitChanges(
      String prefix, long afterRevision, Duration wait) {
    return counted("await", store.awaitChanges(prefix, afterRevision, wait));
  }

  @Override
  public CompletableFuture<Long> put(String key, byte[] value, long leaseId) {
    return counted("put", store.put(key, value, leaseId));
  }

  @Override
  public CompletableFuture<Long> grantLease(Duration timeToLive) {
    return counted("grant_lease", store.grantLease(timeToLive));
  }

  @Override
  public CompletableFuture<Void> renewLease(long leaseId) {
    return counted("renew_lease", store.renewLease(leaseId));
  }

  @Override
  public CompletableFuture<Void> endLease(long leaseId) {
    return counted("end_lease", store.endLease(leaseId));
  }

  @Override
  public StoreEra era() {
    return store.era();
  }

  private <T> CompletableFuture<T> counted(String kind, CompletableFuture<T> call) {
    return call.whenComplete(
        (value, failure) ->
            calls
                .computeIfAbsent(new Key(kind, result(failure)), key -> new LongAdder())
                .increment());
  }

  private static String result(@Nullable Throwable failure) {
    if (failure == null) {
      return "ok";
    }
    return Failures.unwrap(failure) instanceof StoreException storeFailure
        ? storeFailure.fault().name().toLowerCase(Locale.ROOT)
        : "error";
  }

  /** Registers all counts. */
  void bindTo(MeterRegistry registry) {
    Gauge.builder("coltsfootvale.store.era", store.era(), StoreEra::latest).register(registry);
    calls.forEach(
        (key, count) ->
            FunctionCounter.builder("coltsfootvale.store.calls", count, LongAdder::doubleValue)
                .tags("kind", key.kind(), "result", key.result())
                .register(registry));
  }

  private record Key(String kind, String result) {}
}
