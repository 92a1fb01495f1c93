package org.coltsfootvale.protocol;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.coltsfootvale.core.gossip.GossipEntry;
import org.coltsfootvale.core.gossip.GossipMessage;
import org.coltsfootvale.core.model.DataCentreId;
import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.model.Liveness;
import org.coltsfootvale.core.model.RouterId;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.protocol.wire.EngineEntry;
import org.coltsfootvale.protocol.wire.EngineLoads;
import org.coltsfootvale.protocol.wire.Envelope;
import org.coltsfootvale.protocol.wire.Gossip;
import org.testng.annotations.Test;

public final class GossipCodecTest {

  private final GossipCodec codec = new GossipCodec();

  @Test
  public void aMessageWithAllKindsOfEntriesRoundTrips() {
    GossipMessage message = new GossipMessage(true, 9, -3, allKinds());

    assertEquals(codec.decode(codec.encode(message)), message);
  }

  @Test
  public void theSizeOfAMessageIsItsFrameLength() {
    GossipMessage message = new GossipMessage(false, 9, 5, allKinds());

    int frame =
        4 + Envelope.newBuilder().setGossip(codec.encode(message)).build().getSerializedSize();

    assertEquals(codec.ofMessage(message), frame);
  }

  @Test
  public void theSizesOfEntriesCoverTheBytesThatTheyAdd() {
    List<GossipEntry> loads = new ArrayList<>();
    int sum = 0;
    for (int index = 0; index < 100; index++) {
      GossipEntry entry = new GossipEntry.EngineLoadEntry(index, 1000 + index, 40, 96, 6656, 640);
      loads.add(entry);
      sum += codec.ofEntry(entry);
    }

    int added =
        codec.ofMessage(new GossipMessage(false, 1, 1, loads))
            - codec.ofMessage(new GossipMessage(false, 1, 1, List.of()));

    assertTrue(added <= sum + 20, added + " bytes added, " + sum + " computed");
  }

  @Test
  public void quantisedTokenCountsRoundTrip() {
    for (int code = 0; code < 256; code++) {
      long count = TokenCountCodec.decode((byte) code);
      assertEquals(TokenCountCodec.encode(count), (byte) code);
    }
  }

  @Test
  public void listsOfDifferentLengthsAreRejected() {
    Gossip message =
        Gossip.newBuilder().setEngineLoads(EngineLoads.newBuilder().addKeys(1)).build();

    assertThrows(IllegalArgumentException.class, () -> codec.decode(message));
  }

  @Test
  public void anUnknownLivenessIsRejected() {
    Gossip message =
        Gossip.newBuilder().addEngines(EngineEntry.newBuilder().setId("e").setLiveness(7)).build();

    assertThrows(IllegalArgumentException.class, () -> codec.decode(message));
  }

  private static List<GossipEntry> allKinds() {
    RouterIncarnation router = new RouterIncarnation(new RouterId("r"), 7);
    return List.of(
        new GossipEntry.RouterEntry(
            router,
            2,
            Liveness.SUSPECT,
            new DataCentreId("dc"),
            new HostPort("10.0.0.1", 80),
            new HostPort("10.0.0.2", 81),
            255,
            8),
        new GossipEntry.EngineEntry(new EngineId("e"), 3, 4, Liveness.LEAVING, 5, 6, 7, 8),
        new GossipEntry.RouterLoadEntry(-5, 6, 200, 12),
        new GossipEntry.EngineLoadEntry(77, 1000, 33, 88, 6656, 128));
  }
}
