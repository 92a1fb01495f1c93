package org.coltsfootvale.router.serving;

import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.WeakHashMap;
import java.util.function.LongSupplier;
import org.coltsfootvale.core.decision.Decision;
import org.coltsfootvale.core.decision.DecisionEvent;
import org.coltsfootvale.core.decision.DecisionLog;
import org.coltsfootvale.core.dispatch.ReplicaState;
import org.coltsfootvale.core.quarantine.ReplicaCrash;
import org.coltsfootvale.router.http.ReplicaConnection;
import org.coltsfootvale.router.http.ReplicaConnectionPool;
import org.jspecify.annotations.Nullable;

/**
 * Detects that a replica has ended while it processed requests with a prompt. A lost answer alone
 * does not show that, as single connections are reset too: the replica has to refuse a new
 * connection as well. A replica that announced its departure, is silent or cannot be reached is not
 * taken for ended. Confined to the serving loop.
 */
final class ReplicaCrashDetector {

  private final ServingState state;
  private final ReplicaConnectionPool links;
  private final LongSupplier nanoTime;
  private final DecisionLog log;

  /** The requests lost at each replica; a replica is a new key after each restart. */
  private final Map<ReplicaState, Losses> lossesByReplica = new WeakHashMap<>();

  ReplicaCrashDetector(
      ServingState state, ReplicaConnectionPool links, LongSupplier nanoTime, DecisionLog log) {
    this.state = state;
    this.links = links;
    this.nanoTime = nanoTime;
    this.log = log;
  }

  /**
   * Records that a request was sent to a replica and its connection closed without an answer or
   * soon after the beginning of one.
   *
   * @param parts the keys of the shared parts of its prompt
   */
  void onUnansweredRequestLost(ReplicaState replica, List<String> parts) {
    if (parts.isEmpty()) {
      return;
    }
    Losses losses =
        lossesByReplica.computeIfAbsent(replica, absent -> new Losses(nanoTime.getAsLong()));
    losses.requests++;
    losses.parts.addAll(parts);
    if (losses.ended) {
      report(replica, losses);
    } else if (!losses.probing && state.uses(replica)) {
      losses.probing = true;
      links.connect(replica, (opened, failure) -> onProbed(replica, losses, opened, failure));
    }
  }

  private void onProbed(
      ReplicaState replica,
      Losses losses,
      @Nullable ReplicaConnection opened,
      @Nullable Throwable failure) {
    losses.probing = false;
    if (opened != null) {
      opened.cancel();
    }
    // Netty's exception for a time-out is a ConnectException, too.
    boolean refused =
        failure instanceof ConnectException && !(failure instanceof ConnectTimeoutException);
    if (refused && state.uses(replica)) {
      losses.ended = true;
      report(replica, losses);
    } else {
      lossesByReplica.remove(replica);
    }
  }

  private void report(ReplicaState replica, Losses losses) {
    log.record(
        Decision.of(DecisionEvent.REPLICA_ENDED)
            .with("replica", replica.replica().id())
            .with("address", replica.replica().address().toString())
            .with("service", replica.replica().service())
            .with("requests_lost", losses.requests)
            .with("parts", PartNames.join(losses.parts)));
    state
        .quarantine()
        .onCrash(
            new ReplicaCrash(
                new ReplicaCrash.Incarnation(
                    replica.replica().id(), replica.replica().startedMillis()),
                replica.replica().address(),
                losses.parts,
                losses.firstNanos));
  }

  /** The unanswered requests lost at one replica. */
  private static final class Losses {

    private final Set<String> parts = new LinkedHashSet<>();
    private int requests;
    private final long firstNanos;
    private boolean probing;
    private boolean ended;

    Losses(long firstNanos) {
      this.firstNanos = firstNanos;
    }
  }
}
