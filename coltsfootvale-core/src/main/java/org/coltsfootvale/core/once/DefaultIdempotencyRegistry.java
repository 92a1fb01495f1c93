package org.coltsfootvale.core.once;

import com.dynatrace.hash4j.hashing.Hashing;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import java.util.stream.Stream;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.error.Failures;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.core.platform.KeyValueStore;
import org.coltsfootvale.core.platform.PlatformException;
import org.jspecify.annotations.Nullable;

/**
 * Executes each key only at its home, or at the router that has claimed it. Holds the results of
 * keys in bounded memory until the keys expire. State is divided into shards with a lock each; no
 * platform call is made and no future is completed while a lock is held.
 */
public final class DefaultIdempotencyRegistry implements IdempotencyRegistry {

  private static final int SHARDS = 64;
  private static final Duration FULL_RETRY_AFTER = Duration.ofSeconds(5);

  private final RouterIncarnation self;
  private final HomeLiveness homes;
  private final ClaimStore claims;
  private final InstantSource clock;
  private final LongSupplier monotonicNanos;
  private final IdempotencyLimits limits;
  private final PauseDetector pauseDetector;
  private final List<KeyShard> shards;
  private final AtomicLong attempts = new AtomicLong();

  /**
   * Creates an empty registry.
   *
   * @param self the router whose keys are held
   * @param homes determines which other homes may still be running
   * @param store the platform's key-value service, which holds the claims
   * @param clock the wall clock, used for the expiry of key prefixes
   * @param monotonicNanos a monotonic clock, used for the end of claims
   * @param limits the limits of memory and claims
   */
  public DefaultIdempotencyRegistry(
      RouterIncarnation self,
      HomeLiveness homes,
      KeyValueStore store,
      InstantSource clock,
      LongSupplier monotonicNanos,
      IdempotencyLimits limits) {
    this.self = self;
    this.homes = homes;
    this.claims = new PlatformClaimStore(self, store, monotonicNanos, limits.claimLifetime());
    this.clock = clock;
    this.monotonicNanos = monotonicNanos;
    this.limits = limits;
    this.pauseDetector = new PauseDetector(limits.pauseMax(), monotonicNanos);
    int keysPerShard = Math.max(1, limits.keysMax() / SHARDS);
    long bytesPerShard = limits.storedBytesMax() / SHARDS;
    this.shards =
        Stream.generate(() -> new KeyShard(keysPerShard, bytesPerShard)).limit(SHARDS).toList();
  }

  @Override
  public IdempotencyDecision begin(IdempotencyKey key, long fingerprint) {
    RouterIncarnation home = key.home();
    if (home == null) {
      return beginWithClaim(key, fingerprint);
    }
    if (home.equals(self)) {
      return beginAtHome(key, fingerprint);
    }
    return forward(home);
  }

  @Override
  public void tick() {
    pauseDetector.tick();
    Instant now = clock.instant();
    for (KeyShard shard : shards) {
      synchronized (shard) {
        shard.advance(now);
      }
    }
  }

  @Override
  public int size() {
    int size = 0;
    for (KeyShard shard : shards) {
      synchronized (shard) {
        size += shard.size();
      }
    }
    return size;
  }

  private IdempotencyDecision forward(RouterIncarnation owner) {
    if (homes.mayBeRunning(owner)) {
      return new IdempotencyDecision.Forward(owner);
    }
    throw ColtsfootvaleException.outcomeUnknown(
        ErrorKind.HOME_LOST,
        "The router " + owner + ", the only one that may run this key, is gone.");
  }

  private IdempotencyDecision beginAtHome(IdempotencyKey key, long fingerprint) {
    KeyEntry.Id id = new KeyEntry.Id(key.organisation(), key.text());
    KeyShard shard = shard(id);
    synchronized (shard) {
      Instant now = shard.advance(clock.instant());
      KeyEntry entry = shard.find(id);
      if (entry != null) {
        checkFingerprint(entry.fingerprint, fingerprint);
        return attach(entry);
      }
      if (!key.expiresAt().isAfter(now)) {
        throw ColtsfootvaleException.outcomeUnknown(
            ErrorKind.KEY_EXPIRED,
            "The key's prefix expired at "
                + key.expiresAt()
                + "; if the key was used before, what became of it is forgotten.");
      }
      return run(newEntry(shard, id, fingerprint, key.expiresAt()));
    }
  }

  private IdempotencyDecision beginWithClaim(IdempotencyKey key, long fingerprint) {
    KeyEntry.Id id = new KeyEntry.Id(key.organisation(), key.text());
    KeyShard shard = shard(id);
    KeyEntry entry;
    synchronized (shard) {
      Instant now = shard.advance(clock.instant());
      KeyEntry found = shard.find(id);
      if (found != null) {
        checkFingerprint(found.fingerprint, fingerprint);
        if (found.state == KeyEntry.State.IDLE && claimExpired(found)) {
          shard.remove(found);
          found = null;
        }
      }
      if (found != null && found.state != KeyEntry.State.UNCERTAIN) {
        return continueWith(found);
      }
      refuseAfterPause();
      entry = found == null ? newEntry(shard, id, fingerprint, now.plus(claimRetention())) : found;
      entry.state = KeyEntry.State.CLAIMING;
      entry.claim = new CompletableFuture<>();
    }
    return claim(key, shard, entry);
  }

  private void refuseAfterPause() {
    if (pauseDetector.recentlyPaused()) {
      throw ColtsfootvaleException.outcomeUnknown(
          ErrorKind.HOME_LOST,
          "This router was paused; whether another one has run the key meanwhile is not known.");
    }
  }

  private IdempotencyDecision claim(IdempotencyKey key, KeyShard shard, KeyEntry entry) {
    CompletableFuture<IdempotencyDecision> decision = entry.claim;
    var unused =
        claims
            .claim(key, entry.fingerprint, entry.attempt)
            .thenApply(claim -> onClaim(shard, entry, claim))
            .whenComplete(
                (result, failure) -> completeClaim(shard, entry, decision, result, failure));
    return new IdempotencyDecision.Claim(decision);
  }

  private IdempotencyDecision onClaim(KeyShard shard, KeyEntry entry, ClaimStore.Claim claim) {
    checkFingerprint(claim.fingerprint(), entry.fingerprint);
    if (!claim.owner().equals(self)) {
      return forward(claim.owner());
    }
    if (claim.attempt() != entry.attempt) {
      throw ColtsfootvaleException.outcomeUnknown(
          ErrorKind.HOME_LOST,
          "This router has claimed the key before and has forgotten what became of it.");
    }
    synchronized (shard) {
      Instant now = shard.advance(clock.instant());
      entry.claimEndsAtNanos = claim.endsAtNanos();
      shard.extend(entry, now.plus(claimRetention()));
      return run(entry);
    }
  }

  private static void completeClaim(
      KeyShard shard,
      KeyEntry entry,
      CompletableFuture<IdempotencyDecision> decision,
      @Nullable IdempotencyDecision result,
      @Nullable Throwable failure) {
    ColtsfootvaleException error = failure == null ? null : Failures.typed(failure);
    boolean uncertain =
        error instanceof PlatformException platform && platform.mayHaveTakenEffect();
    synchronized (shard) {
      if (uncertain) {
        entry.state = KeyEntry.State.UNCERTAIN;
      } else if (!(result instanceof IdempotencyDecision.Run)) {
        shard.remove(entry);
      }
    }
    if (error != null) {
      decision.completeExceptionally(error);
    } else {
      decision.complete(result);
    }
  }

  private IdempotencyDecision continueWith(KeyEntry entry) {
    return switch (entry.state) {
      case IDLE -> run(entry);
      case CLAIMING -> attachToClaim(entry);
      case UNCERTAIN, RUNNING, DONE -> attach(entry);
    };
  }

  private static IdempotencyDecision attach(KeyEntry entry) {
    return new IdempotencyDecision.Attach(entry.answer.copy());
  }

  private static IdempotencyDecision attachToClaim(KeyEntry entry) {
    IdempotencyDecision attached = attach(entry);
    return new IdempotencyDecision.Claim(
        entry.claim.thenApply(
            decision -> decision instanceof IdempotencyDecision.Run ? attached : decision));
  }

  private boolean claimExpired(KeyEntry entry) {
    Long endsAtNanos = entry.claimEndsAtNanos;
    return endsAtNanos != null
        && endsAtNanos - monotonicNanos.getAsLong() <= limits.claimMargin().toNanos();
  }

  private IdempotencyDecision run(KeyEntry entry) {
    if (entry.answer.isDone()) {
      entry.answer = new CompletableFuture<>();
    }
    entry.state = KeyEntry.State.RUNNING;
    return new IdempotencyDecision.Run(new KeyExecution(shard(entry.id), entry));
  }

  private KeyEntry newEntry(KeyShard shard, KeyEntry.Id id, long fingerprint, Instant expiresAt) {
    if (shard.isFull()) {
      throw ColtsfootvaleException.notRun(
          ErrorKind.OVERLOADED, "The memory of keys is full.", FULL_RETRY_AFTER);
    }
    KeyEntry entry = new KeyEntry(id, fingerprint, attempts.incrementAndGet(), expiresAt);
    shard.add(entry);
    return entry;
  }

  private Duration claimRetention() {
    return limits.claimLifetime().multipliedBy(2);
  }

  private KeyShard shard(KeyEntry.Id id) {
    long hash =
        Hashing.komihash5_0()
            .hashStream()
            .putString(id.organisation().value())
            .putString(id.text())
            .getAsLong();
    return shards.get((int) Math.floorMod(hash, (long) SHARDS));
  }

  private static void checkFingerprint(long stored, long received) {
    if (stored != received) {
      throw ColtsfootvaleException.notRun(
          ErrorKind.KEY_REUSED, "This key stands for a request with another content.");
    }
  }

  /** The execution of one key. */
  private final class KeyExecution implements IdempotencyDecision.Execution {

    private final KeyShard shard;
    private final KeyEntry entry;
    private final CompletableFuture<StoredAnswer> answer;
    private boolean ended;

    KeyExecution(KeyShard shard, KeyEntry entry) {
      this.shard = shard;
      this.entry = entry;
      this.answer = entry.answer;
    }

    @Override
    public void beforeSend() {
      synchronized (shard) {
        if (ended) {
          throw ColtsfootvaleException.outcomeUnknown(
              ErrorKind.INTERNAL, "The run of this key has ended; nothing more is sent for it.");
        }
        if (claimExpired(entry)) {
          throw ColtsfootvaleException.notRun(
              ErrorKind.PLATFORM_UNAVAILABLE,
              "The claim of the key has lapsed before the request could be sent.");
        }
      }
    }

    @Override
    public void finished(StoredAnswer result) {
      boolean answerStored;
      synchronized (shard) {
        if (!tryEnd(KeyEntry.State.DONE)) {
          return;
        }
        int bytes = result.body().length;
        answerStored = bytes <= limits.answerBytesMax() && shard.reserve(entry, bytes);
        if (!answerStored) {
          entry.answer = CompletableFuture.failedFuture(KeyEntry.answerNotKept(result));
        }
      }
      answer.complete(result);
    }

    @Override
    public void notRun() {
      synchronized (shard) {
        if (!tryEnd(KeyEntry.State.IDLE)) {
          return;
        }
        if (entry.claimEndsAtNanos == null) {
          shard.remove(entry);
        }
      }
      answer.completeExceptionally(
          ColtsfootvaleException.notRun(
              ErrorKind.NO_BACKEND, "The request with this key did not run; send it again."));
    }

    @Override
    public void outcomeUnknown(ColtsfootvaleException error) {
      synchronized (shard) {
        if (!tryEnd(KeyEntry.State.DONE)) {
          return;
        }
      }
      answer.completeExceptionally(error);
    }

    private boolean tryEnd(KeyEntry.State state) {
      if (ended) {
        return false;
      }
      ended = true;
      entry.state = state;
      return true;
    }
  }
}
