package org.coltsfootvale.protocol;

import com.google.protobuf.CodedOutputStream;
import java.util.ArrayList;
import java.util.List;
import org.coltsfootvale.core.gossip.GossipEntry;
import org.coltsfootvale.core.gossip.GossipMessage;
import org.coltsfootvale.core.gossip.GossipSizes;
import org.coltsfootvale.core.model.DataCentreId;
import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.model.RouterId;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.protocol.wire.EngineEntry;
import org.coltsfootvale.protocol.wire.Envelope;
import org.coltsfootvale.protocol.wire.Gossip;
import org.coltsfootvale.protocol.wire.RouterEntry;

/** Encodes and decodes gossip messages and computes their encoded sizes. Thread-safe. */
public final class GossipCodec implements GossipSizes {

  private static final int LENGTH_PREFIX_BYTES = 4;
  private static final int ENTRY_TAG_BYTES = 1;

  /** Encodes a message. */
  public Gossip encode(GossipMessage message) {
    Gossip.Builder builder =
        Gossip.newBuilder()
            .setReply(message.reply())
            .setReleaseRevision(message.releaseRevision())
            .setDigest(message.digest());
    List<GossipEntry.RouterLoadEntry> routerLoads = new ArrayList<>();
    List<GossipEntry.EngineLoadEntry> engineLoads = new ArrayList<>();
    for (GossipEntry entry : message.entries()) {
      if (entry instanceof GossipEntry.RouterEntry router) {
        builder.addRouters(encode(router));
      } else if (entry instanceof GossipEntry.EngineEntry engine) {
        builder.addEngines(encode(engine));
      } else if (entry instanceof GossipEntry.RouterLoadEntry load) {
        routerLoads.add(load);
      } else {
        engineLoads.add((GossipEntry.EngineLoadEntry) entry);
      }
    }
    if (!routerLoads.isEmpty()) {
      builder.setRouterLoads(LoadEntryCodec.encodeRouters(routerLoads, message.releaseRevision()));
    }
    if (!engineLoads.isEmpty()) {
      builder.setEngineLoads(LoadEntryCodec.encodeEngines(engineLoads));
    }
    return builder.build();
  }

  /**
   * Decodes a message.
   *
   * @throws IllegalArgumentException if a field has an invalid value
   */
  public GossipMessage decode(Gossip message) {
    List<GossipEntry> entries =
        new ArrayList<>(message.getRoutersCount() + message.getEnginesCount());
    for (RouterEntry router : message.getRoutersList()) {
      entries.add(decode(router));
    }
    for (EngineEntry engine : message.getEnginesList()) {
      entries.add(decode(engine));
    }
    entries.addAll(LoadEntryCodec.decode(message.getRouterLoads(), message.getReleaseRevision()));
    entries.addAll(LoadEntryCodec.decode(message.getEngineLoads()));
    return new GossipMessage(
        message.getReply(), message.getReleaseRevision(), message.getDigest(), entries);
  }

  @Override
  public int ofMessage(GossipMessage message) {
    Envelope envelope = Envelope.newBuilder().setGossip(encode(message)).build();
    return LENGTH_PREFIX_BYTES + envelope.getSerializedSize();
  }

  @Override
  public int ofEntry(GossipEntry entry) {
    if (entry instanceof GossipEntry.RouterLoadEntry load) {
      return LoadEntryCodec.encodedSize(load);
    }
    if (entry instanceof GossipEntry.EngineLoadEntry load) {
      return LoadEntryCodec.encodedSize(load);
    }
    int bytes =
        entry instanceof GossipEntry.RouterEntry router
            ? encode(router).getSerializedSize()
            : encode((GossipEntry.EngineEntry) entry).getSerializedSize();
    return ENTRY_TAG_BYTES + CodedOutputStream.computeUInt32SizeNoTag(bytes) + bytes;
  }

  private static RouterEntry encode(GossipEntry.RouterEntry entry) {
    RouterEntry.Builder builder =
        RouterEntry.newBuilder()
            .setId(entry.router().id().value())
            .setIncarnation(entry.router().number())
            .setVersion(entry.version())
            .setLiveness(LivenessCodec.encode(entry.liveness()))
            .setLoad(entry.load())
            .setAppliedRevision(entry.appliedRevision());
    DataCentreId dataCentre = entry.dataCentre();
    HostPort callerAddress = entry.callerAddress();
    HostPort peerAddress = entry.peerAddress();
    if (dataCentre != null && callerAddress != null && peerAddress != null) {
      builder
          .setDataCentre(dataCentre.value())
          .setCallerAddress(AddressCodec.encode(callerAddress))
          .setPeerAddress(AddressCodec.encode(peerAddress));
    }
    return builder.build();
  }

  private static EngineEntry encode(GossipEntry.EngineEntry entry) {
    return EngineEntry.newBuilder()
        .setId(entry.engine().value())
        .setIncarnation(entry.incarnation())
        .setVersion(entry.version())
        .setLiveness(LivenessCodec.encode(entry.liveness()))
        .setOutstandingRequests(entry.outstandingRequests())
        .setQueuedTokens(entry.queuedTokens())
        .setRunningTokens(entry.runningTokens())
        .setAgeMillis(entry.ageMillis())
        .build();
  }

  private static GossipEntry decode(RouterEntry entry) {
    RouterIncarnation router =
        new RouterIncarnation(new RouterId(entry.getId()), entry.getIncarnation());
    boolean full = !entry.getDataCentre().isEmpty();
    return new GossipEntry.RouterEntry(
        router,
        entry.getVersion(),
        LivenessCodec.decode(entry.getLiveness()),
        full ? new DataCentreId(entry.getDataCentre()) : null,
        full ? AddressCodec.decode(entry.getCallerAddress()) : null,
        full ? AddressCodec.decode(entry.getPeerAddress()) : null,
        entry.getLoad(),
        entry.getAppliedRevision());
  }

  private static GossipEntry decode(EngineEntry entry) {
    return new GossipEntry.EngineEntry(
        new EngineId(entry.getId()),
        entry.getIncarnation(),
        entry.getVersion(),
        LivenessCodec.decode(entry.getLiveness()),
        entry.getOutstandingRequests(),
        entry.getQueuedTokens(),
        entry.getRunningTokens(),
        entry.getAgeMillis());
  }
}
