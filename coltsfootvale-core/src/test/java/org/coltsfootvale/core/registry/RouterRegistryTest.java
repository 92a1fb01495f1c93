package org.coltsfootvale.core.registry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertSame;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.store.StoreEntry;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

@Test(singleThreaded = true)
public class RouterRegistryTest {

  private AtomicLong now = new AtomicLong();
  private RouterRegistry registry = create();

  @BeforeMethod
  void reset() {
    now = new AtomicLong();
    registry = create();
  }

  @Test
  public void theRegistryContainsItsOwnRouterWithoutTheStore() {
    assertEquals(registry.routers(), List.of(router("self")));
    assertEquals(registry.peers(), List.of());
  }

  @Test
  public void anAdvertisementIsDecodedAsItWasEncoded() {
    assertEquals(RouterAdvertisement.decode(router("a").encode()), Optional.of(router("a")));
  }

  @Test
  public void invalidAdvertisementsAreNotDecoded() {
    byte[] invalid = "{\"id\":7}".getBytes(StandardCharsets.UTF_8);
    assertEquals(RouterAdvertisement.decode(invalid), Optional.empty());
  }

  /** Guards against a starting router that takes itself for one of a few. */
  @Test
  public void noRouterCountsAsAdvertisedBeforeAFullRead() {
    registry.onChange(entry("a"));
    assertEquals(registry.advertisedIds(), List.of());
    registry.onFullRead(List.of(entry("b"), entry("a")));
    assertEquals(registry.advertisedIds(), List.of("a", "b"));
    List<String> before = registry.advertisedIds();
    registry.onChange(entry("a"));
    assertSame(registry.advertisedIds(), before);
    registry.onChange(entry("self"));
    assertEquals(registry.advertisedIds(), List.of("a", "b", "self"));
  }

  @Test
  public void advertisementsThatExpireInAnOutageAreKeptForTheGracePeriod() {
    RouterRegistry expiring =
        new RouterRegistry(router("self"), Duration.ofSeconds(2), () -> now.get());
    expiring.onFullRead(List.of(entry("other")));
    expiring.onStoreRecovered();
    expiring.onFullRead(List.of());
    assertEquals(expiring.size(), 2);
    now.addAndGet(TimeUnit.SECONDS.toNanos(3));
    expiring.expire();
    assertEquals(expiring.size(), 1);
  }

  @Test
  public void anAdvertisedRouterWithoutUpdatesIsNotLive() {
    registry.onFullRead(List.of(entry("a"), entry("b")));
    now.addAndGet(TimeUnit.SECONDS.toNanos(3));
    assertEquals(registry.live(Set.of("a")), List.of(router("a"), router("self")));
    assertEquals(registry.live(Set.of("a", "b")).size(), 3);
  }

  @Test
  public void aNewlyAdvertisedRouterIsLiveBeforeItsFirstUpdate() {
    registry.onFullRead(List.of(entry("a")));
    now.addAndGet(TimeUnit.SECONDS.toNanos(3));
    registry.onChange(entry("new"));
    assertEquals(registry.live(Set.of("a")), List.of(router("a"), router("new"), router("self")));
  }

  @Test
  public void aRouterNamedOnlyByARestoredCopyIsNotLiveBeforeAnUpdate() {
    registry.onFullRead(List.of(entry("a")));
    now.addAndGet(TimeUnit.SECONDS.toNanos(9));
    registry.onRestored(List.of(entry("a"), entry("dead")));
    assertEquals(registry.live(Set.of("a")), List.of(router("a"), router("self")));
    assertEquals(registry.live(Set.of("a", "dead")).size(), 3);
  }

  @Test
  public void allAdvertisedRoutersAreLiveWithoutActivePeers() {
    registry.onFullRead(List.of(entry("a"), entry("b")));
    now.addAndGet(TimeUnit.SECONDS.toNanos(3));
    assertEquals(registry.live(Set.of()).size(), 3);
  }

  private RouterRegistry create() {
    return new RouterRegistry(router("self"), Duration.ofSeconds(2), () -> now.get());
  }

  private static StoreEntry entry(String id) {
    return new StoreEntry(RouterRegistry.PREFIX + id, Optional.of(router(id).encode()), 1);
  }

  private static RouterAdvertisement router(String id) {
    return new RouterAdvertisement(
        id, "dc", new HostPort("10.0.0.1", 80), new HostPort("10.0.0.1", 81), 0.5);
  }
}
