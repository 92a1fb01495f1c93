package org.coltsfootvale.core.retry;

import java.time.InstantSource;
import java.util.Collection;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.coltsfootvale.core.support.RendezvousHashing;
import org.jspecify.annotations.Nullable;

/**
 * Circuit breakers that open after failures in a row and admit one probe once the open time has
 * passed. A probe without a result is replaced by another after the open time. Thread-safe; each
 * circuit has its own lock.
 */
public final class DefaultCircuitBreakers implements CircuitBreakers {

  private final CircuitOptions options;
  private final InstantSource clock;
  private final long seed;
  private final Map<String, Circuit> circuits = new ConcurrentHashMap<>();

  /** Creates closed circuits whose open times are spread by a seed. */
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

  /** Forgets the circuits of backend servers that are not among those given. */
  public void retain(Collection<String> backends) {
    circuits.keySet().retainAll(backends);
  }

  private final class Circuit {

    private static final int DOUBLINGS_MAX = 16;

    private final long hash;
    private int failuresInRow;
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
      failuresInRow = 0;
      openings = 0;
      open = false;
      probing = false;
    }

    synchronized void onFailure(long nowMillis) {
      failuresInRow++;
      boolean opens = !open && failuresInRow >= options.failuresToOpen();
      boolean probeFailed = open && probing;
      if (opens || probeFailed) {
        open = true;
        probing = false;
        openings = Math.min(DOUBLINGS_MAX, openings + 1);
        openUntilMillis = nowMillis + openMillis();
      }
    }

    /** Returns the open time, lengthened by up to a quarter that differs between processes. */
    private long openMillis() {
      int doublings = Math.max(0, openings - 1);
      long millis =
          Math.min(options.openBase().toMillis() << doublings, options.openMax().toMillis());
      long spread = Math.floorMod(RendezvousHashing.combine(seed ^ hash, openings), 1024L);
      return millis + millis * spread / 4096;
    }
  }
}
