package org.coltsfootvale.core.registry;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.store.StoreEntry;
import org.testng.annotations.Test;

public class RouterRegistryTest {

  private final AtomicLong now = new AtomicLong();
  private final RouterRegistry registry =
      new RouterRegistry(router("self"), Duration.ofSeconds(2), () -> now.get());

  @Test
  public void aRouterKnowsItselfWithoutTheStore() {
    assertEquals(registry.routers(), List.of(router("self")));
    assertEquals(registry.peers(), List.of());
  }

  @Test
  public void anAdvertisementSurvivesItsEncoding() {
    assertEquals(RouterAdvertisement.decode(router("a").encode()), Optional.of(router("a")));
  }

  @Test
  public void bytesThatAreNoAdvertisementNameNoRouter() {
    byte[] junk = "{\"id\":7}".getBytes(StandardCharsets.UTF_8);
    assertEquals(RouterAdvertisement.decode(junk), Optional.empty());
  }

  @Test
  public void advertisementsThatLapseInAnOutageAreKeptForAWhile() {
    RouterRegistry lapsing =
        new RouterRegistry(router("self"), Duration.ofSeconds(2), () -> now.get());
    lapsing.onReading(List.of(entry("other")));
    lapsing.onStoreReturned();
    lapsing.onReading(List.of());
    assertEquals(lapsing.size(), 2);
    now.addAndGet(TimeUnit.SECONDS.toNanos(3));
    lapsing.expire();
    assertEquals(lapsing.size(), 1);
  }

  private static StoreEntry entry(String id) {
    return new StoreEntry(RouterRegistry.PREFIX + id, Optional.of(router(id).encode()), 1);
  }

  private static RouterAdvertisement router(String id) {
    return new RouterAdvertisement(
        id, "dc", new HostPort("10.0.0.1", 80), new HostPort("10.0.0.1", 81));
  }
}
