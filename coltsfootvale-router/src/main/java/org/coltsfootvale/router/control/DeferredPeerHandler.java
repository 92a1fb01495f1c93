package org.coltsfootvale.router.control;

import java.util.function.Supplier;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.protocol.ForwardResponder;
import org.coltsfootvale.protocol.PeerHandler;
import org.coltsfootvale.protocol.wire.DemandReport;
import org.coltsfootvale.protocol.wire.DispatchCounts;
import org.coltsfootvale.protocol.wire.ForwardRequest;
import org.coltsfootvale.protocol.wire.Gossip;
import org.coltsfootvale.protocol.wire.NotesReply;
import org.coltsfootvale.protocol.wire.NotesRequest;
import org.coltsfootvale.protocol.wire.ShareGrant;

/**
 * Delegates to a target that is looked up at each message. This breaks the cyclic dependency
 * between the transport and the loops that send through it.
 */
public final class DeferredPeerHandler implements PeerHandler {

  private final Supplier<? extends PeerHandler> target;

  /** Creates a handler that delegates to the supplied target. */
  public DeferredPeerHandler(Supplier<? extends PeerHandler> target) {
    this.target = target;
  }

  @Override
  public void onGossip(RouterIncarnation from, Gossip message) {
    target.get().onGossip(from, message);
  }

  @Override
  public void onDispatchCounts(RouterIncarnation from, DispatchCounts counts) {
    target.get().onDispatchCounts(from, counts);
  }

  @Override
  public ShareGrant onDemandReport(RouterIncarnation from, DemandReport report) {
    return target.get().onDemandReport(from, report);
  }

  @Override
  public NotesReply onNotesRequest(RouterIncarnation from, NotesRequest request) {
    return target.get().onNotesRequest(from, request);
  }

  @Override
  public void onForward(
      RouterIncarnation from, ForwardRequest request, ForwardResponder responder) {
    target.get().onForward(from, request, responder);
  }

  @Override
  public void onPeerAlive(RouterIncarnation peer) {
    target.get().onPeerAlive(peer);
  }
}
