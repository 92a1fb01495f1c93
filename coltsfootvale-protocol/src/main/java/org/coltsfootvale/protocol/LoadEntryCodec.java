package org.coltsfootvale.protocol;

import com.google.protobuf.ByteString;
import com.google.protobuf.CodedOutputStream;
import java.util.ArrayList;
import java.util.List;
import org.coltsfootvale.core.gossip.GossipEntry.EngineLoadEntry;
import org.coltsfootvale.core.gossip.GossipEntry.RouterLoadEntry;
import org.coltsfootvale.protocol.wire.EngineLoads;
import org.coltsfootvale.protocol.wire.RouterLoads;

/**
 * Converts load entries to and from parallel lists, which avoid a tag for each field of each entry.
 */
final class LoadEntryCodec {

  private static final int AGE_SHIFT = 6;
  private static final int KEY_BYTES = 4;
  private static final int ROUTER_FIXED_BYTES = KEY_BYTES + 1 + 1;
  private static final int ENGINE_FIXED_BYTES = KEY_BYTES + 2 + 1 + 1;
  private static final int LOAD_MAX = 255;

  private LoadEntryCodec() {}

  /** Returns the number of bytes that an entry adds to a message. */
  static int encodedSize(RouterLoadEntry entry) {
    return ROUTER_FIXED_BYTES + CodedOutputStream.computeUInt64SizeNoTag(entry.version());
  }

  /** Returns the number of bytes that an entry adds to a message. */
  static int encodedSize(EngineLoadEntry entry) {
    return ENGINE_FIXED_BYTES
        + CodedOutputStream.computeUInt32SizeNoTag(entry.outstandingRequests())
        + CodedOutputStream.computeUInt64SizeNoTag(ageSteps(entry.ageMillis()));
  }

  /** Encodes router load entries. */
  static RouterLoads encodeRouters(List<RouterLoadEntry> entries, long releaseRevision) {
    RouterLoads.Builder builder = RouterLoads.newBuilder();
    byte[] loads = new byte[entries.size()];
    for (int index = 0; index < loads.length; index++) {
      RouterLoadEntry entry = entries.get(index);
      loads[index] = (byte) Math.max(0, Math.min(LOAD_MAX, entry.load()));
      builder
          .addKeys(entry.key())
          .addVersions(entry.version())
          .addRevisionLags(releaseRevision - entry.appliedRevision());
    }
    return builder.setLoads(ByteString.copyFrom(loads)).build();
  }

  /** Encodes engine load entries. */
  static EngineLoads encodeEngines(List<EngineLoadEntry> entries) {
    long newest = entries.stream().mapToLong(EngineLoadEntry::version).max().orElse(0);
    EngineLoads.Builder builder = EngineLoads.newBuilder().setNewestVersion(newest);
    byte[] queued = new byte[entries.size()];
    byte[] running = new byte[entries.size()];
    for (int index = 0; index < queued.length; index++) {
      EngineLoadEntry entry = entries.get(index);
      queued[index] = TokenCountCodec.encode(entry.queuedTokens());
      running[index] = TokenCountCodec.encode(entry.runningTokens());
      builder
          .addKeys(entry.key())
          .addVersionLags(newest - entry.version())
          .addOutstandingRequests(entry.outstandingRequests())
          .addAges(ageSteps(entry.ageMillis()));
    }
    return builder
        .setQueuedTokens(ByteString.copyFrom(queued))
        .setRunningTokens(ByteString.copyFrom(running))
        .build();
  }

  /**
   * Decodes router load entries.
   *
   * @throws IllegalArgumentException if the lists differ in length
   */
  static List<RouterLoadEntry> decode(RouterLoads loads, long releaseRevision) {
    int count = loads.getKeysCount();
    checkLengths(
        count, loads.getVersionsCount(), loads.getLoads().size(), loads.getRevisionLagsCount());
    List<RouterLoadEntry> entries = new ArrayList<>(count);
    for (int index = 0; index < count; index++) {
      entries.add(
          new RouterLoadEntry(
              loads.getKeys(index),
              loads.getVersions(index),
              Byte.toUnsignedInt(loads.getLoads().byteAt(index)),
              releaseRevision - loads.getRevisionLags(index)));
    }
    return entries;
  }

  /**
   * Decodes engine load entries.
   *
   * @throws IllegalArgumentException if the lists differ in length
   */
  static List<EngineLoadEntry> decode(EngineLoads loads) {
    int count = loads.getKeysCount();
    checkLengths(
        count,
        loads.getVersionLagsCount(),
        loads.getOutstandingRequestsCount(),
        loads.getQueuedTokens().size(),
        loads.getRunningTokens().size(),
        loads.getAgesCount());
    List<EngineLoadEntry> entries = new ArrayList<>(count);
    for (int index = 0; index < count; index++) {
      entries.add(
          new EngineLoadEntry(
              loads.getKeys(index),
              loads.getNewestVersion() - loads.getVersionLags(index),
              loads.getOutstandingRequests(index),
              TokenCountCodec.decode(loads.getQueuedTokens().byteAt(index)),
              TokenCountCodec.decode(loads.getRunningTokens().byteAt(index)),
              loads.getAges(index) << AGE_SHIFT));
    }
    return entries;
  }

  private static long ageSteps(long ageMillis) {
    return (ageMillis + (1L << (AGE_SHIFT - 1))) >> AGE_SHIFT;
  }

  private static void checkLengths(int count, int... lengths) {
    for (int length : lengths) {
      if (length != count) {
        throw new IllegalArgumentException(
            "the lists of load entries have different lengths: "
                + count
                + " and "
                + length
                + " elements");
      }
    }
  }
}
