package org.coltsfootvale.core.store;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** A store whose calls stay open until a test answers them. */
public final class ScriptedStore implements RevisionedStore {

  /** The calls so far. */
  public final List<String> calls = new ArrayList<>();

  private final StoreEra era = new StoreEra();
  private final Deque<CompletableFuture<?>> open = new ArrayDeque<>();

  @Override
  public CompletableFuture<StorePage> read(String prefix, String afterKey) {
    return call("read " + prefix + " after '" + afterKey + "'");
  }

  @Override
  public CompletableFuture<StoreChanges> awaitChanges(
      String prefix, long afterRevision, Duration wait) {
    return call("changes of " + prefix + " after " + afterRevision);
  }

  @Override
  public CompletableFuture<Long> put(String key, byte[] value, long leaseId) {
    return call("put " + key + " with lease " + leaseId);
  }

  @Override
  public StoreEra era() {
    return era;
  }

  @Override
  public CompletableFuture<Long> grantLease(Duration timeToLive) {
    return call("grant");
  }

  @Override
  public CompletableFuture<Void> renewLease(long leaseId) {
    return call("renew " + leaseId);
  }

  @Override
  public CompletableFuture<Void> endLease(long leaseId) {
    return call("end " + leaseId);
  }

  private <T> CompletableFuture<T> call(String call) {
    calls.add(call);
    CompletableFuture<T> future = new CompletableFuture<>();
    open.addLast(future);
    return future;
  }

  /** Answers the oldest open call. */
  @SuppressWarnings("unchecked")
  public <T> void answer(T result) {
    ((CompletableFuture<T>) open.removeFirst()).complete(result);
  }

  /** Fails the oldest open call. */
  public void fail(StoreException.Fault fault) {
    open.removeFirst().completeExceptionally(new StoreException(fault, "scripted", null));
  }

  /** Returns the latest call. */
  public String lastCall() {
    return calls.get(calls.size() - 1);
  }
}
