package org.coltsfootvale.verify.placement;

import java.io.PrintStream;
import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import org.apache.commons.rng.simple.RandomSource;
import org.coltsfootvale.core.dispatch.ColdAdmission;
import org.coltsfootvale.core.dispatch.DispatchOptions;
import org.coltsfootvale.core.dispatch.PeerRequestCounts;
import org.coltsfootvale.core.dispatch.PromptCacheLocations;
import org.coltsfootvale.core.dispatch.ServiceDispatcher;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.quarantine.PromptQuarantine;
import org.coltsfootvale.core.replica.Replica;
import org.coltsfootvale.core.support.RendezvousHashing;

/**
 * Prints the processor time of a placement among 10, 98 and 900 replicas, and the cost per replica
 * relative to that among 10. The time includes the end of the request.
 */
public final class PlacementCommand {

  private static final int[] REPLICAS = {10, 98, 900};
  private static final int SLOTS = 8;

  /** The rounds of which the median is printed; the first ones are left out as warm-up. */
  private static final int ROUNDS = 25;

  private static final int WARM_UP_ROUNDS = 10;

  /** The replicas evaluated in one round, unless limited by the placements. */
  private static final int REPLICAS_PER_ROUND = 200_000;

  /** The placements of one round; more requests do not fit into the heap of a router. */
  private static final int PLACEMENTS_MAX = 5_000;

  private final PrintStream out;

  /** Creates a command that prints to a stream. */
  public PlacementCommand(PrintStream out) {
    this.out = out;
  }

  /** Runs the measurements, prints the results and returns the exit status, which is 0. */
  public int run() {
    out.println("| replicas | request | ns a placement | ns a replica | to that among 10 |");
    out.println("|---|---|---|---|---|");
    for (Kind kind : Kind.values()) {
      double first = 0;
      for (int replicas : REPLICAS) {
        double nanos = medianNanos(kind, replicas);
        double perReplica = nanos / replicas;
        first = first == 0 ? perReplica : first;
        out.printf(
            Locale.ROOT,
            "| %d | %s | %.0f | %.1f | %.2f |%n",
            replicas,
            kind.label,
            nanos,
            perReplica,
            perReplica / first);
      }
    }
    return 0;
  }

  private static double medianNanos(Kind kind, int replicas) {
    PromptCacheLocations locations =
        new PromptCacheLocations(Duration.ofSeconds(60), System::nanoTime);
    ServiceDispatcher dispatcher = dispatcher(replicas, locations);
    int placements = Math.min(PLACEMENTS_MAX, REPLICAS_PER_ROUND / replicas);
    double[] nanos = new double[ROUNDS];
    for (int round = 0; round < ROUNDS; round++) {
      PlacedRequest[] requests = new PlacedRequest[placements];
      for (int i = 0; i < placements; i++) {
        requests[i] = kind.request(i);
      }
      long start = System.nanoTime();
      for (PlacedRequest request : requests) {
        dispatcher.submit(request);
        request.complete(dispatcher);
      }
      nanos[round] = (System.nanoTime() - start) / (double) placements;
      locations.drainUpdates();
    }
    double[] measured = Arrays.copyOfRange(nanos, WARM_UP_ROUNDS, ROUNDS);
    Arrays.sort(measured);
    return measured[measured.length / 2];
  }

  /** Creates a dispatcher whose replicas also have requests of a peer. */
  private static ServiceDispatcher dispatcher(int replicas, PromptCacheLocations locations) {
    PeerRequestCounts peers = new PeerRequestCounts(() -> Duration.ofSeconds(2), System::nanoTime);
    PromptQuarantine quarantine =
        new PromptQuarantine(System::nanoTime, () -> 0.5, part -> true, new NoQuarantineEvents());
    ServiceDispatcher dispatcher =
        new ServiceDispatcher(
            DispatchOptions.defaults(),
            "dc",
            locations,
            peers,
            quarantine,
            System::nanoTime,
            RandomSource.SPLIT_MIX_64.create(7L),
            ColdAdmission.off());
    Map<Long, Integer> ofPeers = new HashMap<>();
    for (int i = 0; i < replicas; i++) {
      String id = "replica-" + i;
      HostPort address = new HostPort("10.0.0.1", 1_024 + i);
      dispatcher.addReplica(new Replica(id, 1, "service", address, "dc", SLOTS, false));
      ofPeers.put(RendezvousHashing.hash(id), 1 + i % 3);
    }
    peers.onUpdate("peer", ofPeers);
    return dispatcher;
  }
}
