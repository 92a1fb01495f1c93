package org.coltsfootvale.verify.slopes;

import com.google.protobuf.InvalidProtocolBufferException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.time.Instant;
import java.util.List;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.coltsfootvale.core.gossip.Gossip;
import org.coltsfootvale.core.gossip.GossipMessage;
import org.coltsfootvale.core.membership.DefaultMembership;
import org.coltsfootvale.core.membership.MembershipOptions;
import org.coltsfootvale.core.model.DataCentreId;
import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.model.RouterId;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.protocol.GossipCodec;
import org.coltsfootvale.protocol.wire.Envelope;
import org.jspecify.annotations.Nullable;

/** Router of the virtual fleet with the production membership, gossip and encoding. */
public final class VirtualRouter {

  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
  private static final GossipCodec CODEC = new GossipCodec();

  final RouterIncarnation router;
  final DataCentreId dataCentre;
  final HostPort callerAddress;
  final HostPort peerAddress;
  final DefaultMembership membership;
  final Gossip gossip;
  private final VirtualFleet fleet;
  boolean running = true;
  long cpuNanos;
  long notesBytes;
  long probes;
  @Nullable Instant revisionAppliedAt;
  int revisionHops;

  /** Creates a running router. */
  VirtualRouter(
      VirtualFleet fleet,
      RouterIncarnation router,
      DataCentreId dataCentre,
      HostPort callerAddress,
      HostPort peerAddress,
      GossipFactory factory,
      Supplier<List<HostPort>> seeds,
      UniformRandomProvider random) {
    this.fleet = fleet;
    this.router = router;
    this.dataCentre = dataCentre;
    this.callerAddress = callerAddress;
    this.peerAddress = peerAddress;
    membership =
        new DefaultMembership(
            router,
            dataCentre,
            callerAddress,
            peerAddress,
            MembershipOptions.DEFAULT,
            fleet.time());
    gossip = factory.create(router, membership, seeds, fleet.time(), random);
  }

  /** Returns the membership of this router. */
  public DefaultMembership membership() {
    return membership;
  }

  /** Returns the id of this router. */
  public RouterId id() {
    return router.id();
  }

  /** Returns the data centre of this router. */
  public DataCentreId dataCentre() {
    return dataCentre;
  }

  /** Stops the router without notifying its peers. */
  public void kill() {
    running = false;
  }

  /** Runs the periodic work of membership and gossip. */
  void tick() {
    if (!running) {
      return;
    }
    long startNanos = THREADS.getCurrentThreadCpuTime();
    membership.tick();
    send(gossip.dueMessages());
    for (Gossip.SeedMessage message : gossip.dueSeedMessages()) {
      fleet.deliver(this, message.to(), encode(message.message()));
    }
    cpuNanos += THREADS.getCurrentThreadCpuTime() - startNanos;
  }

  /** Probes the engines that this router observes. */
  void probe() {
    if (!running) {
      return;
    }
    long startNanos = THREADS.getCurrentThreadCpuTime();
    for (EngineId id : membership.observedEngines()) {
      probes++;
      VirtualEngine engine = fleet.engine(id);
      if (engine.silent || fleet.isPartitioned(dataCentre, engine.dataCentre)) {
        membership.onEngineSilent(id);
      } else {
        membership.onEngineReport(
            id, engine.incarnation, engine.leaving, engine.report(fleet.time().instant()));
      }
    }
    cpuNanos += THREADS.getCurrentThreadCpuTime() - startNanos;
  }

  /** Handles a frame from a peer. */
  void receive(RouterIncarnation from, byte[] frame) {
    if (!running) {
      return;
    }
    long startNanos = THREADS.getCurrentThreadCpuTime();
    GossipMessage message = decode(frame);
    membership.onPeerAlive(from);
    send(gossip.onMessage(from.id(), message));
    cpuNanos += THREADS.getCurrentThreadCpuTime() - startNanos;
    if (message.releaseRevision() > membership.appliedRevision()) {
      fleet.fetchNotes(this, from.id(), message.releaseRevision());
    }
  }

  private void send(List<Gossip.AddressedMessage> messages) {
    for (Gossip.AddressedMessage message : messages) {
      membership
          .router(message.to())
          .ifPresent(view -> fleet.deliver(this, view.peerAddress(), encode(message.message())));
    }
  }

  private static byte[] encode(GossipMessage message) {
    return Envelope.newBuilder().setGossip(CODEC.encode(message)).build().toByteArray();
  }

  private static GossipMessage decode(byte[] frame) {
    try {
      return CODEC.decode(Envelope.parseFrom(frame).getGossip());
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException("a virtual router has sent an invalid frame", e);
    }
  }
}
