package org.coltsfootvale.router.control;

import java.util.concurrent.Executor;
import org.coltsfootvale.core.admission.ShareCoordinator;
import org.coltsfootvale.core.membership.Membership;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.core.placement.DispatchExchange;
import org.coltsfootvale.protocol.DispatchCodec;
import org.coltsfootvale.protocol.ForwardResponder;
import org.coltsfootvale.protocol.GossipCodec;
import org.coltsfootvale.protocol.PeerHandler;
import org.coltsfootvale.protocol.ShareCodec;
import org.coltsfootvale.protocol.wire.DemandReport;
import org.coltsfootvale.protocol.wire.DispatchCounts;
import org.coltsfootvale.protocol.wire.ForwardRequest;
import org.coltsfootvale.protocol.wire.Gossip;
import org.coltsfootvale.protocol.wire.NotesReply;
import org.coltsfootvale.protocol.wire.NotesRequest;
import org.coltsfootvale.protocol.wire.ShareGrant;

/** Dispatches messages from peers to the components that handle them. */
public final class ControlPeerHandler implements PeerHandler {

  private final Membership membership;
  private final GossipLoop gossip;
  private final GossipCodec gossipCodec;
  private final ReleaseFollower releases;
  private final ShareCoordinator shares;
  private final DispatchExchange dispatches;
  private final ForwardHandler forwards;
  private final Executor executor;

  /**
   * Creates a handler.
   *
   * @param executor runs the handling of gossip, which must not block a transport thread
   */
  public ControlPeerHandler(
      Membership membership,
      GossipLoop gossip,
      GossipCodec gossipCodec,
      ReleaseFollower releases,
      ShareCoordinator shares,
      DispatchExchange dispatches,
      ForwardHandler forwards,
      Executor executor) {
    this.membership = membership;
    this.gossip = gossip;
    this.gossipCodec = gossipCodec;
    this.releases = releases;
    this.shares = shares;
    this.dispatches = dispatches;
    this.forwards = forwards;
    this.executor = executor;
  }

  @Override
  public void onGossip(RouterIncarnation from, Gossip message) {
    executor.execute(
        () -> {
          gossip.onMessage(from.id(), gossipCodec.decode(message));
          releases.onPeerRevision(from.id(), message.getReleaseRevision());
        });
  }

  @Override
  public void onDispatchCounts(RouterIncarnation from, DispatchCounts counts) {
    dispatches.onCounts(from, DispatchCodec.decode(counts));
  }

  @Override
  public ShareGrant onDemandReport(RouterIncarnation from, DemandReport report) {
    return ShareCodec.encode(shares.onReport(from, ShareCodec.decode(report)));
  }

  @Override
  public NotesReply onNotesRequest(RouterIncarnation from, NotesRequest request) {
    return releases.onNotesRequest(request);
  }

  @Override
  public void onForward(
      RouterIncarnation from, ForwardRequest request, ForwardResponder responder) {
    forwards.onForward(from, request, responder);
  }

  @Override
  public void onPeerAlive(RouterIncarnation peer) {
    membership.onPeerAlive(peer);
  }

  /** Serves a forwarded request; never blocks. */
  @FunctionalInterface
  public interface ForwardHandler {

    /** Serves the request and sends the answer through the responder. */
    void onForward(RouterIncarnation from, ForwardRequest request, ForwardResponder responder);
  }
}
