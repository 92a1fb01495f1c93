package org.coltsfootvale.core.overload;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Optional;
import java.util.OptionalLong;
import org.testng.annotations.Test;

public class ConnectionLimitTest {

  /** Close to the overflow of the monotonic clock. */
  private static final long BASE_NANOS = Long.MAX_VALUE - 10;

  @Test
  public void connectionsUpToTheLimitCloseNone() {
    ConnectionLimit<Stub> limit = new ConnectionLimit<>(2);
    assertEquals(limit.add(idle(0)), Optional.empty());
    assertEquals(limit.add(idle(0)), Optional.empty());
    assertEquals(limit.size(), 2);
  }

  /** Guards against a comparison that fails when the clock overflows. */
  @Test
  public void theConnectionIdleLongestIsClosedForANewOne() {
    ConnectionLimit<Stub> limit = new ConnectionLimit<>(3);
    Stub longest = idle(5);
    Stub second = idle(15);
    limit.add(idle(20));
    limit.add(longest);
    limit.add(second);
    assertEquals(limit.add(idle(30)), Optional.of(longest));
    assertEquals(limit.add(idle(40)), Optional.of(second));
    assertEquals(limit.size(), 3);
  }

  /** Guards against requests that are lost because their connection is closed. */
  @Test
  public void aConnectionWithARequestIsKeptAndTheNewOneIsClosedIfNoneIsIdle() {
    ConnectionLimit<Stub> limit = new ConnectionLimit<>(2);
    Stub idle = idle(7);
    limit.add(new Stub(false, 0));
    limit.add(idle);
    assertEquals(limit.add(new Stub(false, 8)), Optional.of(idle));
    Stub refused = idle(9);
    assertEquals(limit.add(refused), Optional.of(refused));
    assertEquals(limit.size(), 2);
  }

  /** Guards against a limit that counts closed connections, so that it is reached for good. */
  @Test
  public void aClosedConnectionMakesRoomOnce() {
    ConnectionLimit<Stub> limit = new ConnectionLimit<>(1);
    Stub first = idle(1);
    Stub second = idle(2);
    limit.add(first);
    limit.remove(first);
    assertEquals(limit.add(second), Optional.empty());
    limit.remove(first);
    assertEquals(limit.add(idle(3)), Optional.of(second));
  }

  @Test
  public void limitsFollowTheDescriptorsOfTheHost() {
    OptionalLong descriptors = OptionalLong.of(4_100);
    assertEquals(accepted(ConnectionLimit.ofCallers(descriptors)), 2_925);
    assertEquals(accepted(ConnectionLimit.ofEndpoint(descriptors)), 128);
  }

  @Test
  public void aHostWithFewDescriptorsStillGetsConnections() {
    OptionalLong descriptors = OptionalLong.of(100);
    assertEquals(accepted(ConnectionLimit.ofCallers(descriptors)), 64);
    assertEquals(accepted(ConnectionLimit.ofEndpoint(descriptors)), 16);
  }

  /** Guards against listeners that together use more than the host has for sockets. */
  @Test
  public void allListenersTogetherLeaveDescriptorsForOtherConnections() {
    for (int descriptors = 512; descriptors < 10_000; descriptors += 100) {
      OptionalLong allowed = OptionalLong.of(descriptors);
      int listeners =
          accepted(ConnectionLimit.ofCallers(allowed))
              + 3 * accepted(ConnectionLimit.ofEndpoint(allowed));
      assertTrue(listeners < descriptors - 200, listeners + " of " + descriptors);
    }
  }

  @Test
  public void withoutADescriptorLimitNoConnectionIsClosed() {
    assertEquals(accepted(ConnectionLimit.ofCallers(OptionalLong.empty())), 10_000);
    assertEquals(accepted(ConnectionLimit.ofEndpoint(OptionalLong.empty())), 10_000);
  }

  private static int accepted(ConnectionLimit<Stub> limit) {
    for (int i = 0; i < 10_000; i++) {
      limit.add(new Stub(false, i));
    }
    return limit.size();
  }

  private static Stub idle(long sinceNanos) {
    return new Stub(true, BASE_NANOS + sinceNanos);
  }

  /** A connection with a fixed state, compared by identity. */
  private static final class Stub implements ConnectionLimit.Connection {

    private final boolean idle;
    private final long idleSinceNanos;

    Stub(boolean idle, long idleSinceNanos) {
      this.idle = idle;
      this.idleSinceNanos = idleSinceNanos;
    }

    @Override
    public boolean idle() {
      return idle;
    }

    @Override
    public long idleSinceNanos() {
      return idleSinceNanos;
    }
  }
}
