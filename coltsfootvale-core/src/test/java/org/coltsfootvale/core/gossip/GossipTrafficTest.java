package org.coltsfootvale.core.gossip;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import org.testng.annotations.Test;

public class GossipTrafficTest {

  private static final Instant START = Instant.EPOCH;
  private static final int SECONDS = 60;

  private final GossipOptions options = GossipOptions.DEFAULT;

  @Test
  public void routerThatReceivesMoreThanItsBudgetSendsLivenessButNoLoad() {
    GossipTraffic traffic = new GossipTraffic(options, START);
    for (int second = 1; second <= SECONDS; second++) {
      traffic.received(6 * options.bytesPerSecond(), START.plusSeconds(second));
    }
    Instant now = START.plusSeconds(SECONDS);
    assertTrue(traffic.allows(EntryClass.LIVENESS, now));
    assertTrue(traffic.allows(EntryClass.LEAVING, now));
    assertFalse(traffic.allows(EntryClass.LOAD, now));
  }

  @Test
  public void routerSendsLivenessUpToHalfOfItsBudgetRegardlessOfReceivedBytes() {
    GossipTraffic traffic = new GossipTraffic(options, START);
    long sentBytes = 0;
    for (int second = 1; second <= SECONDS; second++) {
      Instant now = START.plusSeconds(second);
      traffic.received(6 * options.bytesPerSecond(), now);
      while (traffic.allows(EntryClass.LIVENESS, now)) {
        traffic.sent(100, now);
        sentBytes += 100;
      }
    }
    long sentBytesMax = (long) SECONDS * options.bytesPerSecond() / 2 + options.burstBytes();
    assertTrue(sentBytes <= sentBytesMax, "sent " + sentBytes);
  }
}
