package org.coltsfootvale.core.release;

import java.time.Instant;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Complete fleet states in the form of notes that add every item, so that they are stored and sent
 * to peers like notes. Notes of operators cannot use the prefix of their ids.
 */
final class FleetSnapshots {

  /** The prefix of snapshot ids. */
  static final String ID_PREFIX = "snapshot:";

  private static final ReleaseNote.Ids NONE_WITHDRAWN =
      new ReleaseNote.Ids(List.of(), List.of(), List.of(), List.of(), List.of(), List.of());

  private FleetSnapshots() {}

  /** Returns the snapshot of a state. */
  static AcceptedNote of(FleetState state) {
    ReleaseNote.Items items =
        new ReleaseNote.Items(
            list(state.organisations()),
            list(state.models()),
            list(state.pools()),
            list(state.engines()),
            list(state.services()),
            list(state.operators()),
            null);
    ReleaseNote.Items changed =
        new ReleaseNote.Items(
            List.of(), List.of(), List.of(), List.of(), List.of(), List.of(), state.policy());
    ReleaseNote note =
        new ReleaseNote(ID_PREFIX + state.revision(), items, changed, NONE_WITHDRAWN);
    return new AcceptedNote(state.revision(), note, Instant.EPOCH);
  }

  /** Returns whether a note is a snapshot. */
  static boolean isSnapshot(ReleaseNote note) {
    return note.id().startsWith(ID_PREFIX);
  }

  /** Returns the state that a snapshot contains. */
  static FleetState state(AcceptedNote snapshot) {
    ReleaseNote.Items items = snapshot.note().added();
    PolicySpec policy = snapshot.note().changed().policy();
    return new FleetState(
        snapshot.revision(),
        map(items.organisations(), OrganisationSpec::id),
        map(items.models(), ModelSpec::id),
        map(items.pools(), PoolSpec::id),
        map(items.engines(), EngineSpec::id),
        map(items.services(), ServiceSpec::id),
        map(items.operators(), OperatorSpec::id),
        policy == null ? PolicySpec.DEFAULT : policy);
  }

  private static <K extends Comparable<? super K>, V> List<V> list(Map<K, V> items) {
    return items.entrySet().stream()
        .sorted(Map.Entry.comparingByKey())
        .map(Map.Entry::getValue)
        .toList();
  }

  private static <K, V> Map<K, V> map(Collection<V> items, Function<V, K> id) {
    return items.stream().collect(Collectors.toMap(id, Function.identity()));
  }
}
