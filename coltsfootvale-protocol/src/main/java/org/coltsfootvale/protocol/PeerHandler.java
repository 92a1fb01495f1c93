package org.coltsfootvale.protocol;

import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.protocol.wire.DemandReport;
import org.coltsfootvale.protocol.wire.DispatchCounts;
import org.coltsfootvale.protocol.wire.ForwardRequest;
import org.coltsfootvale.protocol.wire.Gossip;
import org.coltsfootvale.protocol.wire.NotesReply;
import org.coltsfootvale.protocol.wire.NotesRequest;
import org.coltsfootvale.protocol.wire.PrefixChanges;
import org.coltsfootvale.protocol.wire.PrefixReply;
import org.coltsfootvale.protocol.wire.PrefixRequest;
import org.coltsfootvale.protocol.wire.RouterUpdate;
import org.coltsfootvale.protocol.wire.ShareGrant;

/** Handles messages from authenticated peers. Called on event loops; must not block. */
public interface PeerHandler {

  /** Handles a gossip message; replies are sent through {@link PeerTransport#send}. */
  void onGossip(RouterIncarnation from, Gossip message);

  /** Handles the dispatch counts of a peer. */
  void onDispatchCounts(RouterIncarnation from, DispatchCounts counts);

  /** Answers a demand report with a share grant. */
  ShareGrant onDemandReport(RouterIncarnation from, DemandReport report);

  /** Answers a request for release notes. */
  NotesReply onNotesRequest(RouterIncarnation from, NotesRequest request);

  /** Serves a forwarded request. */
  void onForward(RouterIncarnation from, ForwardRequest request, ForwardResponder responder);

  /** Handles a router update; ignored by routers that share no placements. */
  default void onRouterUpdate(RouterIncarnation from, RouterUpdate update) {}

  /** Handles changes of a store prefix relayed by a peer; ignored by default. */
  default void onPrefixChanges(RouterIncarnation from, PrefixChanges changes) {}

  /** Returns all known placements of prompt parts; none by default. */
  default RouterUpdate onPlacementsRequest(RouterIncarnation from) {
    return RouterUpdate.getDefaultInstance();
  }

  /** Returns the view of a store prefix; empty on routers that follow none. */
  default PrefixReply onPrefixRequest(RouterIncarnation from, PrefixRequest request) {
    return PrefixReply.getDefaultInstance();
  }

  /** Called when a handshake or a heartbeat shows that a peer is alive. */
  void onPeerAlive(RouterIncarnation peer);
}
