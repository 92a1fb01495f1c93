package org.coltsfootvale.router.serving;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
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
import org.coltsfootvale.protocol.wire.ServingNews;

/**
 * What routers tell each other of the platform's store: relays pass on what they read, and a router
 * that lacks something asks another one. Confined to the serving loop.
 */
final class StoreExchange {

  /** How long another router has for an answer. */
  static final Duration REQUEST_TIMEOUT = Duration.ofMillis(800);

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /**
   * How long a change may arrive here after another router has it: longer than changes of
   * advertisements gather at the store, and short beside the bounds for the desired state.
   */
  private static final Duration LAG_ALLOWED = Duration.ofMillis(500);

  private final RelayTopology topology;
  private final KnownPeers peers;
  private final FleetBulletin bulletin;
  private final PeerTransport transport;
  private final List<PrefixFollower> followers;
  private final StoreReaderRole reader;
  private final DecisionLog log;
  private final List<RevisionLagDetector<StorePosition>> lags = new ArrayList<>();
  private final PrefixFollower desiredState;
  private final DesiredStateFeed inForce;
  private final RevisionLagDetector<Long> versionLag;
  private boolean reads = true;
  private boolean learning;
  private int asking;

  StoreExchange(
      RelayTopology topology,
      KnownPeers peers,
      FleetBulletin bulletin,
      PeerTransport transport,
      FollowedPrefixes followed,
      StoreReaderRole reader,
      DecisionLog log,
      LongSupplier nanoTime) {
    this.topology = topology;
    this.peers = peers;
    this.bulletin = bulletin;
    this.transport = transport;
    this.followers = followed.all();
    this.reader = reader;
    this.log = log;
    this.inForce = followed.inForce();
    this.desiredState = followed.desiredState();
    this.versionLag = new RevisionLagDetector<>(LAG_ALLOWED, nanoTime);
    for (PrefixFollower follower : followers) {
      lags.add(new RevisionLagDetector<>(LAG_ALLOWED, nanoTime));
      follower.onUpdate(this::passOn);
    }
  }

  /** Takes note that a relay is heard which is up to date with the store. */
  void heardCurrent() {
    reader.onCurrentRelay();
  }

  /**
   * Calls the store for changes, or leaves that to a relay.
   *
   * @param hearsAnybody whether any other router is heard
   */
  void follow(boolean hearsAnybody) {
    boolean latest = reader.readsStore(hearsAnybody);
    if (latest != reads) {
      reads = latest;
      log.record(
          Decision.of(DecisionEvent.STORE_ROLE_CHANGED)
              .with("reads", reads)
              .with("rank", topology.rank())
              .with("hears_others", hearsAnybody));
    }
    followers.forEach(follower -> follower.setReadsStore(reads));
  }

  /** Passes on what this router has learnt of the store to those that leave the store to it. */
  private void passOn(PrefixUpdate update) {
    if (topology.fullMesh()) {
      return;
    }
    List<RouterAdvertisement> receivers = new ArrayList<>(bulletin.reporters());
    if (!learning) {
      // What another relay has told it tells the others itself.
      topology
          .relay()
          .ifPresentOrElse(
              relay -> {
                if (reader.forwardsToRelay()) {
                  receivers.add(relay);
                }
              },
              () -> receivers.addAll(topology.remoteRelays()));
    }
    if (!receivers.isEmpty()) {
      Envelope message =
          Envelope.newBuilder().setPrefixChanges(PrefixMessages.changes(update)).build();
      receivers.forEach(receiver -> transport.send(receiver.peerAddress(), message));
    }
  }

  /** Takes changes that another router passes on. */
  void onChanges(RouterIncarnation from, PrefixChanges changes) {
    for (PrefixFollower follower : followers) {
      if (follower.prefix().equals(changes.getPrefix())) {
        learning = true;
        boolean complete = follower.apply(PrefixMessages.update(changes));
        learning = false;
        if (!complete) {
          peers.find(from).ifPresent(peer -> ask(peer.peerAddress(), follower));
        }
      }
    }
  }

  /** Asks another router for what the store does not tell. */
  void askIfUninformed() {
    List<PrefixFollower> behind =
        followers.stream().filter(follower -> !follower.current()).toList();
    if (behind.isEmpty() || asking > 0) {
      return;
    }
    peers.any().ifPresent(peer -> behind.forEach(follower -> ask(peer, follower)));
  }

  private void ask(HostPort peer, PrefixFollower follower) {
    Envelope question =
        Envelope.newBuilder()
            .setPrefixRequest(PrefixRequest.newBuilder().setPrefix(follower.prefix()))
            .build();
    asking++;
    var unused =
        transport
            .request(peer, question, REQUEST_TIMEOUT)
            .whenComplete(
                (reply, failure) -> {
                  asking--;
                  if (failure != null) {
                    LOGGER.atFine().log(
                        "%s does not tell of %s: %s",
                        peer, follower.prefix(), Failures.unwrap(failure).getMessage());
                  } else {
                    learn(follower, reply.getPrefixReply());
                  }
                });
  }

  private void learn(PrefixFollower follower, PrefixReply reply) {
    learning = true;
    follower.apply(
        PrefixMessages.entries(reply.getEntriesList()),
        new StorePosition(reply.getEra(), reply.getRevision()));
    if (reply.hasInForce()) {
      inForce.onChange(PrefixMessages.entry(reply.getInForce()));
    }
    learning = false;
  }

  /** Returns what this router knows of a prefix. */
  PrefixReply reply(PrefixRequest request) {
    PrefixReply.Builder reply = PrefixReply.newBuilder();
    for (PrefixFollower follower : followers) {
      if (follower.prefix().equals(request.getPrefix())) {
        reply.setEra(follower.position().era()).setRevision(follower.position().revision());
        follower.currentEntries().forEach(entry -> reply.addEntries(PrefixMessages.entry(entry)));
      }
    }
    if (desiredState.prefix().equals(request.getPrefix())) {
      inForce
          .inForce()
          .filter(entry -> !desiredState.currentEntries().contains(entry))
          .ifPresent(entry -> reply.setInForce(PrefixMessages.entry(entry)));
    }
    return reply.build();
  }

  /** Asks a router for what it has seen and what does not arrive here. */
  void askWhatIsMissing(RouterIncarnation from, ServingNews news) {
    int told = Math.min(news.getPrefixChangesCount(), news.getPrefixErasCount());
    for (int i = 0; i < Math.min(followers.size(), told); i++) {
      PrefixFollower follower = followers.get(i);
      StorePosition seen = new StorePosition(news.getPrefixEras(i), news.getPrefixChanges(i));
      if (lags.get(i).observe(seen, follower.position())) {
        peers.find(from).ifPresent(peer -> ask(peer.peerAddress(), follower));
      }
    }
    if (versionLag.observe(news.getDesiredStateVersion(), inForce.versionInForce())) {
      peers.find(from).ifPresent(peer -> ask(peer.peerAddress(), desiredState));
    }
  }

  /** Asks a router at once for the desired state if a later version is in force there. */
  void askIfLater(HostPort peer, long version) {
    if (version > inForce.versionInForce()) {
      ask(peer, desiredState);
    }
  }
}
