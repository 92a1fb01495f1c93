package org.coltsfootvale.protocol;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.protocol.wire.DemandReport;
import org.coltsfootvale.protocol.wire.DispatchCounts;
import org.coltsfootvale.protocol.wire.ForwardRequest;
import org.coltsfootvale.protocol.wire.Gossip;
import org.coltsfootvale.protocol.wire.NotesReply;
import org.coltsfootvale.protocol.wire.NotesRequest;
import org.coltsfootvale.protocol.wire.PrefixEntry;
import org.coltsfootvale.protocol.wire.PrefixReply;
import org.coltsfootvale.protocol.wire.PrefixRequest;
import org.coltsfootvale.protocol.wire.RouterUpdate;
import org.coltsfootvale.protocol.wire.ShareGrant;

/** Records received messages; fails requests for notes after revisions above 99. */
final class RecordingPeerHandler implements PeerHandler {

  final BlockingQueue<Gossip> gossip = new LinkedBlockingQueue<>();
  final BlockingQueue<DispatchCounts> dispatches = new LinkedBlockingQueue<>();
  final BlockingQueue<RouterUpdate> updates = new LinkedBlockingQueue<>();
  final BlockingQueue<RouterIncarnation> alive = new LinkedBlockingQueue<>();
  final BlockingQueue<ForwardResponder> forwards = new LinkedBlockingQueue<>();
  final BlockingQueue<RouterIncarnation> senders = new LinkedBlockingQueue<>();

  @Override
  public void onGossip(RouterIncarnation from, Gossip message) {
    senders.add(from);
    gossip.add(message);
  }

  @Override
  public void onDispatchCounts(RouterIncarnation from, DispatchCounts counts) {
    senders.add(from);
    dispatches.add(counts);
  }

  @Override
  public ShareGrant onDemandReport(RouterIncarnation from, DemandReport report) {
    return ShareGrant.newBuilder().setValidForMillis(report.getDemandsCount()).build();
  }

  @Override
  public NotesReply onNotesRequest(RouterIncarnation from, NotesRequest request) {
    if (request.getAfterRevision() > 99) {
      throw ColtsfootvaleException.notRun(ErrorKind.NOT_READY, "revision not available");
    }
    return NotesReply.newBuilder().setNewestRevision(request.getAfterRevision()).build();
  }

  @Override
  public PrefixReply onPrefixRequest(RouterIncarnation from, PrefixRequest request) {
    return PrefixReply.newBuilder()
        .setRevision(7)
        .addEntries(PrefixEntry.newBuilder().setKey(request.getPrefix()).setRevision(5))
        .build();
  }

  @Override
  public RouterUpdate onPlacementsRequest(RouterIncarnation from) {
    return RouterUpdate.newBuilder().addParts(11).addPartReplicas(12).build();
  }

  @Override
  public void onRouterUpdate(RouterIncarnation from, RouterUpdate message) {
    updates.add(message);
  }

  @Override
  public void onForward(
      RouterIncarnation from, ForwardRequest request, ForwardResponder responder) {
    forwards.add(responder);
  }

  @Override
  public void onPeerAlive(RouterIncarnation peer) {
    alive.add(peer);
  }
}
