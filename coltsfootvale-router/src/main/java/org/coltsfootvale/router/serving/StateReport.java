package org.coltsfootvale.router.serving;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.coltsfootvale.core.dispatch.PeerRequestCounts;
import org.coltsfootvale.core.dispatch.ReplicaState;
import org.coltsfootvale.core.dispatch.ServiceDispatcher;
import org.coltsfootvale.core.quarantine.QuarantinedPart;
import org.coltsfootvale.core.registry.RouterRegistry;
import org.coltsfootvale.core.store.PrefixFollower;
import org.coltsfootvale.core.support.Json;
import org.coltsfootvale.router.metrics.GaugeSample;

/** Renders this router's current view with the ages of its data. Confined to the serving loop. */
final class StateReport {

  /** Maximum number of entries in a list of the dump, which states the total as well. */
  private static final int ENTRIES_MAX = 500;

  private static final double MILLIS_PER_SECOND = 1_000.0;

  private final ServingState state;
  private final RouterRegistry registry;
  private final PeerRequestCounts peerRequestCounts;
  private final List<PrefixFollower> followers;
  private final CallerListener callers;
  private final BooleanSupplier ready;
  private final LongSupplier nanoTime;

  StateReport(
      ServingState state,
      RouterRegistry registry,
      PeerRequestCounts peerRequestCounts,
      List<PrefixFollower> followers,
      CallerListener callers,
      BooleanSupplier ready,
      LongSupplier nanoTime) {
    this.state = state;
    this.registry = registry;
    this.peerRequestCounts = peerRequestCounts;
    this.followers = List.copyOf(followers);
    this.callers = callers;
    this.ready = ready;
    this.nanoTime = nanoTime;
  }

  /** Returns the values of all gauges. */
  List<GaugeSample> readings() {
    List<GaugeSample> readings = new ArrayList<>();
    readings.add(GaugeSample.of("coltsfootvale.ready", ready.getAsBoolean() ? 1 : 0));
    readings.add(GaugeSample.of("coltsfootvale.requests.in.progress", state.active()));
    readings.add(GaugeSample.of("coltsfootvale.caller.connections", callers.connections()));
    readings.add(GaugeSample.of("coltsfootvale.caller.held.bytes", callers.heldBytes()));
    readings.add(GaugeSample.of("coltsfootvale.caller.capacity.bytes", callers.capacityBytes()));
    readings.add(GaugeSample.of("coltsfootvale.routers.known", registry.size()));
    readings.add(GaugeSample.of("coltsfootvale.peers.heard", peerRequestCounts.activePeerCount()));
    readings.add(
        GaugeSample.of("coltsfootvale.desired.state.version", state.desiredStateVersion()));
    readings.add(
        GaugeSample.of(
            "coltsfootvale.desired.state.age.seconds",
            state.desiredStateAge().toMillis() / MILLIS_PER_SECOND));
    readings.add(
        GaugeSample.of(
            "coltsfootvale.prompt.parts.quarantined",
            state.quarantine().quarantinedParts().size()));
    readings.add(GaugeSample.of("coltsfootvale.data.centres.evacuated", state.evacuated().size()));
    for (PrefixFollower follower : followers) {
      readings.add(
          new GaugeSample(
              "coltsfootvale.store.current",
              Map.of("prefix", follower.prefix()),
              follower.current() ? 1 : 0));
    }
    state.dispatchers().forEach((service, dispatcher) -> readings.addAll(of(service, dispatcher)));
    return readings;
  }

  private static List<GaugeSample> of(String service, ServiceDispatcher dispatcher) {
    Map<String, String> labels = Map.of("service", service);
    List<ReplicaState> replicas = dispatcher.replicas();
    int inFlight = replicas.stream().mapToInt(ReplicaState::inFlight).sum();
    long suspended = replicas.stream().filter(replica -> replica.health().suspended()).count();
    long cold = replicas.stream().filter(ReplicaState::cold).count();
    return List.of(
        new GaugeSample("coltsfootvale.requests.waiting", labels, dispatcher.waiting()),
        new GaugeSample("coltsfootvale.requests.at.replicas", labels, inFlight),
        new GaugeSample("coltsfootvale.replicas", labels, replicas.size()),
        new GaugeSample("coltsfootvale.replicas.suspended", labels, suspended),
        new GaugeSample("coltsfootvale.replicas.cold", labels, cold));
  }

  /** Returns the full state as JSON. */
  String dump() {
    ObjectNode dump = Json.MAPPER.createObjectNode();
    dump.put("ready", ready.getAsBoolean());
    dump.put("draining", state.draining());
    dump.put("requests_in_progress", state.active());
    dump.put("desired_state", state.desiredStateVersion());
    dump.put("desired_state_age_millis", state.desiredStateAge().toMillis());
    ArrayNode evacuated = dump.putArray("evacuated_data_centres");
    state.evacuated().forEach(evacuated::add);
    ArrayNode followed = dump.putArray("store");
    for (PrefixFollower follower : followers) {
      followed
          .addObject()
          .put("prefix", follower.prefix())
          .put("era", follower.position().era())
          .put("revision", follower.position().revision())
          .put("keys", follower.currentEntries().size())
          .put("current", follower.current());
    }
    ArrayNode routers = dump.putArray("routers");
    registry.routers().stream()
        .limit(ENTRIES_MAX)
        .forEach(router -> routers.add(router.id() + " " + router.callerAddress()));
    dump.put("routers_known", registry.size());
    dump.put("peers_heard", peerRequestCounts.activePeerCount());
    ArrayNode quarantined = dump.putArray("quarantine");
    state.quarantine().quarantinedParts().stream()
        .limit(ENTRIES_MAX)
        .forEach(quarantinedPart -> describe(quarantined.addObject(), quarantinedPart));
    ObjectNode services = dump.putObject("services");
    state
        .dispatchers()
        .forEach((service, dispatcher) -> describe(services.putObject(service), dispatcher));
    return dump.toPrettyString() + "\n";
  }

  private void describe(ObjectNode entry, QuarantinedPart quarantinedPart) {
    entry.put("part", quarantinedPart.part());
    entry.put("incidents", quarantinedPart.incidents());
    entry.put(
        "latest_crash_age_millis", millis(nanoTime.getAsLong() - quarantinedPart.latestNanos()));
    ArrayNode replicas = entry.putArray("replicas");
    quarantinedPart.crashes().forEach(crash -> replicas.add(crash.replica().id()));
    ArrayNode alike = entry.putArray("indistinguishable");
    quarantinedPart.indistinguishable().forEach(alike::add);
  }

  private void describe(ObjectNode service, ServiceDispatcher dispatcher) {
    service.put("waiting", dispatcher.waiting());
    service.put("replicas_known", dispatcher.replicas().size());
    ArrayNode replicas = service.putArray("replicas");
    dispatcher.replicas().stream()
        .limit(ENTRIES_MAX)
        .forEach(replica -> describe(replicas.addObject(), replica));
  }

  private void describe(ObjectNode entry, ReplicaState replica) {
    long now = nanoTime.getAsLong();
    entry
        .put("id", replica.replica().id())
        .put("address", replica.replica().address().toString())
        .put("slots", replica.replica().slots())
        .put("own_requests", replica.inFlight())
        .put("requests_of_peers", peerRequestCounts.inFlightAt(replica.nameHash()))
        .put("suspended", replica.health().suspended())
        .put("cold", replica.cold())
        .put("failure_share", replica.health().failureRate())
        .put("entry_age_millis", millis(now - replica.confirmedNanos()))
        .put("heard_age_millis", millis(now - replica.health().lastReceivedNanos()));
    replica.reportAgeNanos(now).ifPresent(age -> entry.put("report_age_millis", millis(age)));
  }

  private static long millis(long nanos) {
    return Duration.ofNanos(nanos).toMillis();
  }
}
