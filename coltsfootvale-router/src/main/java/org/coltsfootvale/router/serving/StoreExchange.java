package org.coltsfootvale.router.serving;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.coltsfootvale.core.decision.Decision;
import org.coltsfootvale.core.decision.DecisionEvent;
import org.coltsfootvale.core.decision.DecisionLog;
import org.coltsfootvale.core.error.Failures;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.core.registry.RelayTopology;
import org.coltsfootvale.core.registry.RouterAdvertisement;
import org.coltsfootvale.core.registry.StoreReaderRole;
import org.coltsfootvale.core.store.PrefixFollower;
import org.coltsfootvale.core.store.PrefixUpdate;
import org.coltsfootvale.core.store.RevisionLagDetector;
import org.coltsfootvale.core.store.StorePosition;
import org.coltsfootvale.protocol.PeerTransport;
import org.coltsfootvale.protocol.wire.Envelope;
import org.coltsfootvale.protocol.wire.PrefixChanges;
import org.coltsfootvale.protocol.wire.PrefixReply;
import org.coltsfootvale.protocol.wire.PrefixRequest;
import org.coltsfootvale.protocol.wire.RouterUpdate;
import org.coltsfootvale.router.metrics.PeerMessageMetrics;
import org.coltsfootvale.router.metrics.PeerMessageMetrics.Cause;
import org.coltsfootvale.router.metrics.PeerMessageMetrics.Kind;

/**
 * Exchanges the contents of the platform's store between routers: relays forward the changes they
 * read, and a router that lacks changes requests them from a peer. Confined to the serving loop.
 */
final class StoreExchange {

  /** Maximum time to wait for the reply of a peer. */
  static final Duration REQUEST_TIMEOUT = Duration.ofMillis(800);

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /**
   * How much later than at a peer a change may arrive here: longer than the store gathers changes
   * of advertisements, and short relative to the bounds for the desired state.
   */
  private static final Duration LAG_MAX = Duration.ofMillis(500);

  private final RelayTopology topology;
  private final KnownPeers peers;
  private final FleetUpdates updates;
  private final PeerTransport transport;
  private final List<PrefixFollower> followers;
  private final StoreReaderRole readerRole;
  private final PeerMessageMetrics messages;
  private final DecisionLog log;
  private final List<RevisionLagDetector<StorePosition>> lags = new ArrayList<>();
  private final PrefixFollower desiredState;
  private final DesiredStateFeed desiredStateFeed;
  private final RevisionLagDetector<Long> versionLag;
  private boolean readsStore = true;
  private boolean applyingPeerState;
  private Optional<HostPort> sender = Optional.empty();
  private final Set<StateRequest> pendingRequests = new HashSet<>();

  StoreExchange(
      RelayTopology topology,
      KnownPeers peers,
      FleetUpdates updates,
      PeerTransport transport,
      FollowedPrefixes followed,
      StoreReaderRole readerRole,
      PeerMessageMetrics messages,
      DecisionLog log,
      LongSupplier nanoTime) {
    this.topology = topology;
    this.peers = peers;
    this.updates = updates;
    this.transport = transport;
    this.followers = followed.all();
    this.readerRole = readerRole;
    this.messages = messages;
    this.log = log;
    this.desiredStateFeed = followed.desiredStateFeed();
    this.desiredState = followed.desiredState();
    this.versionLag = new RevisionLagDetector<>(LAG_MAX, nanoTime);
    for (PrefixFollower follower : followers) {
      lags.add(new RevisionLagDetector<>(LAG_MAX, nanoTime));
      follower.onUpdate(this::forward);
    }
  }

  /** Records that an update came from a relay that is up to date with the store. */
  void onCurrentRelay() {
    readerRole.onCurrentRelay();
  }

  /**
   * Reads changes from the store, or leaves that to a relay.
   *
   * @param anyPeerActive whether updates arrive from any other router
   */
  void follow(boolean anyPeerActive) {
    boolean latest = readerRole.readsStore(anyPeerActive);
    if (latest != readsStore) {
      readsStore = latest;
      log.record(
          Decision.of(DecisionEvent.STORE_ROLE_CHANGED)
              .with("reads", readsStore)
              .with("rank", topology.rank())
              .with("hears_others", anyPeerActive));
    }
    followers.forEach(follower -> follower.setReadsStore(readsStore));
  }

  /** Forwards changes in the store to the routers that leave reading it to this one. */
  private void forward(PrefixUpdate update) {
    List<RouterAdvertisement> receivers = new ArrayList<>(updates.reporters());
    if (applyingPeerState) {
      sender.ifPresent(peer -> receivers.removeIf(router -> router.peerAddress().equals(peer)));
    } else if (!topology.fullMesh()) {
      // A relay that sends an update to this one sends it to the others itself.
      topology
          .relay()
          .ifPresentOrElse(
              relay -> {
                if (readerRole.forwardsToRelay()) {
                  receivers.add(relay);
                }
              },
              () -> receivers.addAll(topology.remoteRelays()));
    }
    if (!receivers.isEmpty()) {
      Envelope message =
          Envelope.newBuilder().setPrefixChanges(PrefixMessages.changes(update)).build();
      messages.record(
          kindOf(update), applyingPeerState ? Cause.PEER : Cause.STORE, receivers.size());
      receivers.forEach(receiver -> transport.send(receiver.peerAddress(), message));
    }
  }

  private static Kind kindOf(PrefixUpdate update) {
    if (update.recovery().isPresent()) {
      return Kind.RECOVERY;
    }
    return update.full() ? Kind.FULL_STATE : Kind.CHANGES;
  }

  /** Applies changes that another router forwards. */
  void onChanges(RouterIncarnation from, PrefixChanges changes) {
    for (PrefixFollower follower : followers) {
      if (follower.prefix().equals(changes.getPrefix())) {
        Optional<HostPort> peer = peers.find(from).map(RouterAdvertisement::peerAddress);
        boolean complete = applyFrom(peer, () -> follower.apply(PrefixMessages.update(changes)));
        if (!complete) {
          peer.ifPresent(address -> request(address, follower, Cause.BEHIND_PEER));
        }
      }
    }
  }

  /** Requests from a peer the state that could not be read from the store. */
  void requestMissingState() {
    List<PrefixFollower> outdated =
        followers.stream().filter(follower -> !follower.current()).toList();
    if (outdated.isEmpty() || !pendingRequests.isEmpty()) {
      return;
    }
    peers
        .any()
        .ifPresent(peer -> outdated.forEach(follower -> request(peer, follower, Cause.STORE_LOST)));
  }

  private void request(HostPort peer, PrefixFollower follower, Cause cause) {
    StateRequest pending = new StateRequest(peer, follower.prefix());
    if (!pendingRequests.add(pending)) {
      return;
    }
    messages.record(Kind.STATE_REQUEST, cause, 1);
    Envelope request =
        Envelope.newBuilder()
            .setPrefixRequest(PrefixRequest.newBuilder().setPrefix(follower.prefix()))
            .build();
    var unused =
        transport
            .request(peer, request, REQUEST_TIMEOUT)
            .whenComplete(
                (reply, failure) -> {
                  pendingRequests.remove(pending);
                  if (failure != null) {
                    LOGGER.atFine().log(
                        "peer %s returned no entries of prefix %s: %s",
                        peer, follower.prefix(), Failures.unwrap(failure).getMessage());
                  } else {
                    applyReply(peer, follower, reply.getPrefixReply());
                  }
                });
  }

  private void applyReply(HostPort peer, PrefixFollower follower, PrefixReply reply) {
    var unused =
        applyFrom(
            Optional.of(peer),
            () -> {
              follower.apply(
                  PrefixMessages.entries(reply.getEntriesList()),
                  new StorePosition(reply.getEra(), reply.getRevision()));
              if (reply.hasInForce()) {
                desiredStateFeed.onChange(PrefixMessages.entry(reply.getInForce()));
              }
              return true;
            });
  }

  /** Applies state of a peer, to which nothing of it is forwarded. */
  private boolean applyFrom(Optional<HostPort> peer, BooleanSupplier application) {
    applyingPeerState = true;
    sender = peer;
    try {
      return application.getAsBoolean();
    } finally {
      applyingPeerState = false;
      sender = Optional.empty();
    }
  }

  /** Returns the entries of a prefix in this router's view. */
  PrefixReply reply(PrefixRequest request) {
    PrefixReply.Builder reply = PrefixReply.newBuilder();
    for (PrefixFollower follower : followers) {
      if (follower.prefix().equals(request.getPrefix())) {
        reply.setEra(follower.position().era()).setRevision(follower.position().revision());
        follower.currentEntries().forEach(entry -> reply.addEntries(PrefixMessages.entry(entry)));
      }
    }
    if (desiredState.prefix().equals(request.getPrefix())) {
      desiredStateFeed
          .appliedEntry()
          .filter(entry -> !desiredState.currentEntries().contains(entry))
          .ifPresent(entry -> reply.setInForce(PrefixMessages.entry(entry)));
    }
    return reply.build();
  }

  /** Requests from a peer the changes that it has seen and that have not arrived here in time. */
  void requestMissingChanges(RouterIncarnation from, RouterUpdate update) {
    int count = Math.min(update.getPrefixChangesCount(), update.getPrefixErasCount());
    for (int i = 0; i < Math.min(followers.size(), count); i++) {
      PrefixFollower follower = followers.get(i);
      StorePosition seen = new StorePosition(update.getPrefixEras(i), update.getPrefixChanges(i));
      if (lags.get(i).observe(seen, follower.position())) {
        peers
            .find(from)
            .ifPresent(peer -> request(peer.peerAddress(), follower, Cause.BEHIND_PEER));
      }
    }
    if (versionLag.observe(update.getDesiredStateVersion(), desiredStateFeed.appliedVersion())) {
      peers
          .find(from)
          .ifPresent(peer -> request(peer.peerAddress(), desiredState, Cause.BEHIND_PEER));
    }
  }

  /** Requests the desired state at once if the peer has applied a later version. */
  void requestIfLater(HostPort peer, long version) {
    if (version > desiredStateFeed.appliedVersion()) {
      request(peer, desiredState, Cause.BEHIND_PEER);
    }
  }

  /** A request for the entries of a prefix that a peer has not answered yet. */
  private record StateRequest(HostPort peer, String prefix) {}
}
