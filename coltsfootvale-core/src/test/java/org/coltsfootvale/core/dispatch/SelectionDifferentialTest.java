package org.coltsfootvale.core.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.replica.Replica;
import org.testng.annotations.Test;

/** Guards against strategies that save work and thereby select another replica than specified. */
@Test(singleThreaded = true)
public class SelectionDifferentialTest extends DispatcherFixture {

  private static final int STATES = 3_000;
  private static final int REPLICAS_MAX = 24;

  @Test
  public void bothStrategiesSelectTheReplicaThatTheReferenceSelects() {
    DispatchOptions options = DispatchOptions.defaults();
    Set<Placement.Basis> bases = EnumSet.noneOf(Placement.Basis.class);
    int unplaced = 0;
    for (int seed = 0; seed < STATES; seed++) {
      reset();
      UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create((long) seed);
      List<ReplicaState> replicas = randomReplicas(random);
      TestRequest plain = randomlyExcluding(new TestRequest(withoutPrompt(1, 1_000)), random);
      int tokens = random.nextBoolean() ? LONG_PREFIX_TOKENS : SHORT_PREFIX_TOKENS;
      TestRequest prompt = randomlyExcluding(new TestRequest(prompt("part", tokens)), random);
      SelectionReference reference = new SelectionReference(options, "dc", locations, peers);
      UniformRandomProvider drawn = RandomSource.SPLIT_MIX_64.create((long) seed);
      UniformRandomProvider expectedDrawn = RandomSource.SPLIT_MIX_64.create((long) seed);
      LeastLoadedStrategy leastLoaded =
          new LeastLoadedStrategy(options, "dc", peers, () -> now.get(), drawn);
      PrefixAffinityStrategy prefixAffinity =
          new PrefixAffinityStrategy(options, locations, peers, () -> now.get());
      // The second selection of one instance guards against state left over from the first.
      for (int repeat = 0; repeat < 2; repeat++) {
        assertEquals(
            leastLoaded.select(plain, replicas),
            reference.leastLoaded(plain, replicas, now.get(), expectedDrawn),
            "seed " + seed);
        Placement selected = prefixAffinity.select(prompt, replicas);
        assertEquals(
            selected, reference.prefixAffinity(prompt, replicas, now.get()), "seed " + seed);
        if (selected == null) {
          unplaced++;
        } else {
          bases.add(selected.basis());
        }
      }
      assertEquals(drawn.nextLong(), expectedDrawn.nextLong(), "random numbers, seed " + seed);
    }
    assertEquals(bases, EnumSet.allOf(Placement.Basis.class));
    assertTrue(unplaced > 0, "the states include some in which no replica can take the request");
  }

  private List<ReplicaState> randomReplicas(UniformRandomProvider random) {
    int count = random.nextInt(REPLICAS_MAX);
    int loadMax = 1 + random.nextInt(2 * SLOTS);
    List<ReplicaState> replicas = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      Replica replica =
          new Replica(
              "r" + i,
              1,
              "service",
              new HostPort("10.0.0." + (i + 1), 80),
              random.nextInt(3) == 0 ? "other" : "dc",
              random.nextInt(SLOTS + 1),
              false);
      replicas.add(
          new ReplicaState(
              replica, new ReplicaHealth(() -> now.get()), ColdAdmission.off(), now.get()));
    }
    Map<Long, Integer> ofPeers = new HashMap<>();
    for (ReplicaState replica : replicas) {
      randomLoad(replica, loadMax, random);
      randomHealth(replica, random);
      if (random.nextInt(3) == 0) {
        ofPeers.put(replica.nameHash(), 1 + random.nextInt(loadMax));
      }
      if (random.nextInt(3) == 0) {
        locations.recordPlacement(
            new TestRequest(prompt("part", 1)).sharedPrefixes().get(0).hash(), replica);
      }
    }
    peers.onUpdate("peer", ofPeers);
    now.addAndGet(TimeUnit.MILLISECONDS.toNanos(random.nextInt(2_000)));
    return replicas;
  }

  private void randomLoad(ReplicaState replica, int loadMax, UniformRandomProvider random) {
    if (random.nextInt(4) == 0) {
      LoadReport report = new LoadReport(random.nextInt(loadMax), random.nextInt(2), SLOTS);
      replica.onLoadReport(report, now.get());
    }
    int own = random.nextInt(3) == 0 ? random.nextInt(loadMax) : 0;
    for (int i = 0; i < own; i++) {
      TestRequest request = new TestRequest(prompt("other" + i, LONG_PREFIX_TOKENS));
      replica.onRequestPlaced(request, now.get());
      if (random.nextInt(3) > 0) {
        replica.onAnswerStarted(request);
      }
    }
  }

  private static void randomHealth(ReplicaState replica, UniformRandomProvider random) {
    ReplicaHealth health = replica.health();
    int failures = random.nextInt(3) == 0 ? random.nextInt(10) : 0;
    for (int i = 0; i < failures; i++) {
      health.onFailure();
    }
    switch (random.nextInt(10)) {
      case 0 -> health.onConnectionFailure();
      case 1 -> health.pause(Duration.ofMillis(random.nextInt(2_000)));
      case 2 -> health.onPeerPause(Duration.ofMillis(random.nextInt(3_000)));
      default -> health.onSuccess();
    }
  }

  private static TestRequest randomlyExcluding(TestRequest request, UniformRandomProvider random) {
    int excluded = random.nextInt(4) == 0 ? random.nextInt(REPLICAS_MAX) : 0;
    for (int i = 0; i < excluded; i++) {
      request.exclude("r" + random.nextInt(REPLICAS_MAX));
    }
    return request;
  }
}
