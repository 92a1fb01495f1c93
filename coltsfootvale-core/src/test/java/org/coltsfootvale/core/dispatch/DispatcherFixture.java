package org.coltsfootvale.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.commons.rng.simple.RandomSource;
import org.coltsfootvale.core.course.PromptPart;
import org.coltsfootvale.core.course.RequestDescription;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.quarantine.PromptQuarantine;
import org.coltsfootvale.core.quarantine.RecordingQuarantineListener;
import org.coltsfootvale.core.replica.Replica;
import org.jspecify.annotations.Nullable;
import org.testng.annotations.BeforeMethod;

/** A dispatcher with replicas, and requests that record their outcome. */
abstract class DispatcherFixture {

  static final int SLOTS = 8;
  static final int LONG_PREFIX_TOKENS = 10_000;
  static final int SHORT_PREFIX_TOKENS = 199;

  AtomicLong now = new AtomicLong();
  PromptCacheLocations locations = locations();
  PeerRequestCounts peers = peers();
  PromptQuarantine quarantine = quarantine();
  ServiceDispatcher dispatcher = create();

  @BeforeMethod
  void reset() {
    now = new AtomicLong(TimeUnit.SECONDS.toNanos(100));
    locations = locations();
    peers = peers();
    quarantine = quarantine();
    dispatcher = create();
  }

  List<TestRequest> fillReplicas() {
    List<TestRequest> placed = new ArrayList<>();
    for (int i = 0; i < 2 * SLOTS; i++) {
      TestRequest request = new TestRequest(withoutPrompt(1, 1_000));
      dispatcher.submit(request);
      placed.add(request);
    }
    return placed;
  }

  String submit(TestRequest request) {
    dispatcher.submit(request);
    return request.replica == null ? "" : request.replica.replica().id();
  }

  String submit(Spec spec) {
    return submit(new TestRequest(spec));
  }

  String submitAndComplete(Spec spec) {
    TestRequest request = new TestRequest(spec);
    String id = submit(request);
    request.placed().onAnswerStarted(request);
    dispatcher.release(request.placed());
    return id;
  }

  ReplicaState state(String id) {
    return dispatcher.replicas().stream()
        .filter(state -> state.replica().id().equals(id))
        .findFirst()
        .orElseThrow();
  }

  void addReplicas(int count) {
    for (int i = 0; i < count; i++) {
      dispatcher.addReplica(replica(i));
    }
  }

  ServiceDispatcher create() {
    return new ServiceDispatcher(
        DispatchOptions.defaults(),
        "dc",
        locations,
        peers,
        quarantine,
        () -> now.get(),
        RandomSource.SPLIT_MIX_64.create(7L),
        coldAdmission());
  }

  /** Returns the limit on requests to cold replicas; none unless a test overrides it. */
  ColdAdmission coldAdmission() {
    return ColdAdmission.off();
  }

  PromptCacheLocations locations() {
    return new PromptCacheLocations(Duration.ofSeconds(60), () -> now.get());
  }

  PromptQuarantine quarantine() {
    return new PromptQuarantine(
        () -> now.get(), () -> 0.5, part -> true, new RecordingQuarantineListener());
  }

  PeerRequestCounts peers() {
    return new PeerRequestCounts(() -> Duration.ofSeconds(2), () -> now.get());
  }

  static Replica replica(int index) {
    return new Replica(
        "r" + index, 1, "service", new HostPort("10.0.0." + (index + 1), 80), "dc", SLOTS, false);
  }

  static Replica replica(String id) {
    return replica(Integer.parseInt(id.substring(1)));
  }

  static Replica restarted(Replica before) {
    return new Replica(
        before.id(),
        before.startedMillis() + 1_000,
        before.service(),
        before.address(),
        before.dataCentre(),
        before.slots(),
        false);
  }

  record Spec(RequestDescription description, int urgency, long goalMillis) {}

  static Spec prompt(String part, int tokens) {
    return new Spec(
        new RequestDescription(
            "id",
            Optional.empty(),
            Optional.empty(),
            List.of(new PromptPart(part, tokens), new PromptPart("own", 100)),
            tokens + 100,
            50,
            OptionalLong.empty()),
        1,
        1_000);
  }

  static Spec promptWithRoot(String root, String part) {
    return new Spec(
        new RequestDescription(
            "id",
            Optional.empty(),
            Optional.empty(),
            List.of(
                new PromptPart(root, 500),
                new PromptPart(part, LONG_PREFIX_TOKENS),
                new PromptPart("own", 100)),
            LONG_PREFIX_TOKENS + 600,
            50,
            OptionalLong.empty()),
        1,
        1_000);
  }

  static Spec withoutPrompt(int urgency, long goalMillis) {
    return new Spec(
        new RequestDescription(
            "id", Optional.empty(), Optional.empty(), List.of(), 0, 0, OptionalLong.empty()),
        urgency,
        goalMillis);
  }

  final class TestRequest extends DispatchRequest {

    final Runnable onPlaced;
    @Nullable ReplicaState replica;
    @Nullable Placement placement;
    Optional<HostPort> cacheSource = Optional.empty();
    Optional<Refusal> refusal = Optional.empty();
    int placements;

    TestRequest(Spec spec) {
      this(spec, () -> {});
    }

    TestRequest(Spec spec, Runnable onPlaced) {
      super(
          spec.description(),
          spec.urgency(),
          now.get(),
          now.get() + TimeUnit.SECONDS.toNanos(10),
          TimeUnit.MILLISECONDS.toNanos(spec.goalMillis()));
      this.onPlaced = onPlaced;
    }

    @Override
    protected void onPlaced(Placement chosen) {
      placement = chosen;
      replica = chosen.replica();
      cacheSource = chosen.cacheSource();
      placements++;
      onPlaced.run();
    }

    Placement placement() {
      return Objects.requireNonNull(placement, "the request has not been placed");
    }

    ReplicaState placed() {
      return Objects.requireNonNull(replica, "the request has not been placed");
    }

    @Override
    protected void onRefused(Refusal latest) {
      refusal = Optional.of(latest);
    }
  }
}
