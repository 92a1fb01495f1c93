package org.coltsfootvale.core.once;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.coltsfootvale.core.model.OrganisationId;
import org.coltsfootvale.core.model.RouterId;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.core.replay.ScriptedKeyValueStore;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class IdempotencyConcurrencyTest {

  private static final int THREADS = 8;
  private static final int KEYS = 300;
  private static final RouterIncarnation SELF = new RouterIncarnation(new RouterId("a"), 1);
  private static final Instant NOW = Instant.ofEpochSecond(1_000_000);

  private final DefaultKeyPrefixes prefixes =
      new DefaultKeyPrefixes(List.of(new byte[16]), Duration.ofMinutes(15), () -> NOW, () -> 7L);

  @DataProvider
  public Object[][] keyTexts() {
    return new Object[][] {{prefixes.mint(SELF) + "."}, {"crane-"}};
  }

  @Test(dataProvider = "keyTexts")
  public void concurrentRequestsWithSameKeyExecuteOnceAndShareAnswer(String text) throws Exception {
    DefaultIdempotencyRegistry registry =
        new DefaultIdempotencyRegistry(
            SELF,
            home -> true,
            new ScriptedKeyValueStore(),
            () -> NOW,
            () -> 0,
            IdempotencyLimits.DEFAULT);
    CyclicBarrier barrier = new CyclicBarrier(THREADS);
    ExecutorService executor = Executors.newFixedThreadPool(THREADS);
    try {
      List<Future<Integer>> runs = new ArrayList<>();
      for (int thread = 0; thread < THREADS; thread++) {
        runs.add(executor.submit(() -> requestEveryKey(registry, text, barrier)));
      }
      int sum = 0;
      for (Future<Integer> run : runs) {
        sum += run.get();
      }
      assertEquals(sum, KEYS);
    } finally {
      executor.shutdownNow();
    }
  }

  private int requestEveryKey(
      DefaultIdempotencyRegistry registry, String text, CyclicBarrier barrier) throws Exception {
    int runs = 0;
    for (int i = 0; i < KEYS; i++) {
      barrier.await();
      IdempotencyKey key = prefixes.parse(new OrganisationId("reserve"), text + i);
      IdempotencyDecision decision = registry.begin(key, 7);
      if (decision instanceof IdempotencyDecision.Claim claim) {
        decision = claim.decision().join();
      }
      if (decision instanceof IdempotencyDecision.Run run) {
        run.execution().beforeSend();
        run.execution().finished(new StoredAnswer(200, Map.of(), new byte[0]));
        runs++;
      } else {
        assertEquals(((IdempotencyDecision.Attach) decision).answer().join().status(), 200);
      }
    }
    return runs;
  }
}
