package org.coltsfootvale.core.retry;

import java.time.InstantSource;
import java.util.Collection;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.coltsfootvale.core.support.RendezvousHashing;
import org.jspecify.annotations.Nullable;

/**
 * Circuit breakers that open after consecutive failures and admit one probe once the open time has
 * passed. If a probe has no result within another open time, a further probe is admitted.
 * Thread-safe; each circuit has its own lock.
 */
public final class DefaultCircuitBreakers implements CircuitBreakers {

  private final CircuitOptions options;
  private final InstantSource clock;
  private final long seed;
  private final Map<String, Circuit> circuits = new ConcurrentHashMap<>();

  /** Creates closed circuits whose open times have a jitter derived from a seed. */
  public DefaultCircuitBreakers(CircuitOptions options, InstantSource clock, long seed) {
    this.options = options;
    this.clock = clock;
    this.seed = seed;
  }

  @Override
  public boolean tryAcquire(String backend) {
    @Nullable Circuit circuit = circuits.get(backend);
    return circuit == null || circuit.tryAcquire(clock.millis());
  }

  @Override
  public boolean isClosed(String backend) {
    @Nullable Circuit circuit = circuits.get(backend);
    return circuit == null || circuit.isClosed();
  }

  @Override
  public void onSuccess(String backend) {
    @Nullable Circuit circuit = circuits.get(backend);
    if (circuit != null) {
      circuit.onSuccess();
    }
  }

  @Override
  public void onFailure(String backend) {
    circuits
        .computeIfAbsent(backend, id -> new Circuit(RendezvousHashing.hash(id)))
        .onFailure(clock.millis());
  }

  /** Removes the circuits of all backend servers except the given ones. */
  public void retain(Collection<String> backends) {
    circuits.keySet().retainAll(backends);
  }

  private final class Circuit {

    private static final int DOUBLINGS_MAX = 16;

    private final long hash;
    private int consecutiveFailures;
    private int openings;
    private long openUntilMillis;
    private boolean open;
    private boolean probing;

    Circuit(long hash) {
      this.hash = hash;
    }

    synchronized boolean tryAcquire(long nowMillis) {
      if (!open) {
        return true;
      }
      if (nowMillis < openUntilMillis) {
        return false;
      }
      openUntilMillis = nowMillis + openMillis();
      probing = true;
      return true;
    }

    synchronized boolean isClosed() {
      return !open;
    }

    synchronized void onSuccess() {
      consecutiveFailures = 0;
      openings = 0;
      open = false;
      probing = false;
    }

    synchronized void onFailure(long nowMillis) {
      consecutiveFailures++;
      boolean opens = !open && consecutiveFailures >= options.failuresToOpen();
      boolean probeFailed = open && probing;
      if (opens || probeFailed) {
        open = true;
        probing = false;
        openings = Math.min(DOUBLINGS_MAX, openings + 1);
        openUntilMillis = nowMillis + openMillis();
      }
    }

    /** Returns the open time with a jitter of up to 25 %, which differs between processes. */
    private long openMillis() {
      int doublings = Math.max(0, openings - 1);
      long millis =
          Math.min(options.openBase().toMillis() << doublings, options.openMax().toMillis());
      long jitter = Math.floorMod(RendezvousHashing.combine(seed ^ hash, openings), 1024L);
      return millis + millis * jitter / 4096;
    }
  }
}
