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
import org.coltsfootvale.protocol.wire.ServingNews;
import org.coltsfootvale.protocol.wire.ShareGrant;

/** Serves the messages of authenticated peers; called on transport threads, never blocks. */
public interface PeerHandler {

  /** Takes a gossip message; replies are sent through {@link PeerTransport#send}. */
  void onGossip(RouterIncarnation from, Gossip message);

  /** Takes another router's dispatch counts. */
  void onDispatchCounts(RouterIncarnation from, DispatchCounts counts);

  /** Answers a demand report. */
  ShareGrant onDemandReport(RouterIncarnation from, DemandReport report);

  /** Answers a request for release notes. */
  NotesReply onNotesRequest(RouterIncarnation from, NotesRequest request);

  /** Serves a forwarded request. */
  void onForward(RouterIncarnation from, ForwardRequest request, ForwardResponder responder);

  /** Takes what another router has placed; ignored by routers that share no placements. */
  default void onRouterUpdate(RouterIncarnation from, ServingNews news) {}

  /** Takes changes of a prefix of the store that another router passes on. */
  default void onPrefixChanges(RouterIncarnation from, PrefixChanges changes) {}

  /** Answers a question for all parts of prompts that were placed. */
  default ServingNews onPlacementsRequest(RouterIncarnation from) {
    return ServingNews.getDefaultInstance();
  }

  /** Answers a question for a prefix of the store; routers that follow none know nothing. */
  default PrefixReply onPrefixRequest(RouterIncarnation from, PrefixRequest request) {
    return PrefixReply.getDefaultInstance();
  }

  /** Tells that a peer has proved to be alive: a handshake or a heartbeat was answered. */
  void onPeerAlive(RouterIncarnation peer);
}
