package org.coltsfootvale.core.release;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.model.ModelId;
import org.coltsfootvale.core.model.OrganisationId;
import org.coltsfootvale.core.model.PoolId;
import org.coltsfootvale.core.model.ServiceId;
import org.coltsfootvale.core.support.Checks;

/** Applies notes to each kind of item and validates the complete resulting state. */
public final class DefaultFleetStateReducer implements FleetStateReducer {

  private final FleetStateValidator validator = new FleetStateValidator();

  /** Creates the reducer. */
  public DefaultFleetStateReducer() {}

  @Override
  public FleetState apply(FleetState state, ReleaseNote note) {
    checkNote(note);
    FleetState next = applyAccepted(state, note);
    validator.validate(state, next);
    return next;
  }

  @Override
  public FleetState applyAccepted(FleetState state, ReleaseNote note) {
    return new FleetState(
        state.revision() + 1,
        organisations(state, note),
        models(state, note),
        pools(state, note),
        engines(state, note),
        services(state, note),
        operators(state, note),
        note.changed().policy() == null ? state.policy() : note.changed().policy());
  }

  @Override
  public List<String> describe(ReleaseNote note) {
    List<String> lines = new ArrayList<>();
    describeItems(lines, "added", note.added());
    describeItems(lines, "changed", note.changed());
    if (note.changed().policy() != null) {
      lines.add("changed policy");
    }
    ReleaseNote.Ids ids = note.withdrawn();
    describeIds(lines, "withdrawn", "organisation", ids.organisations());
    describeIds(lines, "withdrawn", "model", ids.models());
    describeIds(lines, "withdrawn", "pool", ids.pools());
    describeIds(lines, "withdrawn", "engine", ids.engines());
    describeIds(lines, "withdrawn", "service", ids.services());
    describeIds(lines, "withdrawn", "operator", ids.operators());
    return lines;
  }

  private void checkNote(ReleaseNote note) {
    try {
      Checks.identifier(note.id(), "id");
    } catch (IllegalArgumentException e) {
      throw NoteErrors.invalid("The note's " + e.getMessage() + ".", e);
    }
    if (FleetSnapshots.isSnapshot(note)) {
      throw invalid("The id '" + note.id() + "' is reserved; choose another one.");
    }
    if (note.added().policy() != null) {
      throw invalid("The policy may stand only under 'changed'.");
    }
    if (describe(note).isEmpty()) {
      throw invalid("Note '" + note.id() + "' changes nothing; add, change or withdraw an item.");
    }
  }

  private static Map<OrganisationId, OrganisationSpec> organisations(
      FleetState state, ReleaseNote note) {
    return new Section<>("organisation", state.organisations(), OrganisationSpec::id)
        .apply(
            note.added().organisations(),
            note.changed().organisations(),
            ids("organisation", note.withdrawn().organisations(), OrganisationId::new));
  }

  private static Map<ModelId, ModelSpec> models(FleetState state, ReleaseNote note) {
    return new Section<>("model", state.models(), ModelSpec::id)
        .apply(
            note.added().models(),
            note.changed().models(),
            ids("model", note.withdrawn().models(), ModelId::new));
  }

  private static Map<PoolId, PoolSpec> pools(FleetState state, ReleaseNote note) {
    return new Section<>("pool", state.pools(), PoolSpec::id)
        .apply(
            note.added().pools(),
            note.changed().pools(),
            ids("pool", note.withdrawn().pools(), PoolId::new));
  }

  private static Map<EngineId, EngineSpec> engines(FleetState state, ReleaseNote note) {
    return new Section<>("engine", state.engines(), EngineSpec::id)
        .apply(
            note.added().engines(),
            note.changed().engines(),
            ids("engine", note.withdrawn().engines(), EngineId::new));
  }

  private static Map<ServiceId, ServiceSpec> services(FleetState state, ReleaseNote note) {
    return new Section<>("service", state.services(), ServiceSpec::id)
        .apply(
            note.added().services(),
            note.changed().services(),
            ids("service", note.withdrawn().services(), ServiceId::new));
  }

  private static Map<String, OperatorSpec> operators(FleetState state, ReleaseNote note) {
    return new Section<>("operator", state.operators(), OperatorSpec::id)
        .apply(note.added().operators(), note.changed().operators(), note.withdrawn().operators());
  }

  private static <K> List<K> ids(String kind, List<String> texts, Function<String, K> parser) {
    List<K> ids = new ArrayList<>();
    for (String text : texts) {
      try {
        ids.add(parser.apply(text));
      } catch (IllegalArgumentException e) {
        throw NoteErrors.invalid("Withdrawn " + kind + ": " + e.getMessage() + ".", e);
      }
    }
    return ids;
  }

  private static void describeItems(List<String> lines, String verb, ReleaseNote.Items items) {
    items.organisations().forEach(item -> lines.add(verb + " organisation " + item.id()));
    items.models().forEach(item -> lines.add(verb + " model " + item.id()));
    items.pools().forEach(item -> lines.add(verb + " pool " + item.id()));
    items.engines().forEach(item -> lines.add(verb + " engine " + item.id()));
    items.services().forEach(item -> lines.add(verb + " service " + item.id()));
    items.operators().forEach(item -> lines.add(verb + " operator " + item.id()));
  }

  private static void describeIds(List<String> lines, String verb, String kind, List<String> ids) {
    ids.forEach(id -> lines.add(verb + " " + kind + " " + id));
  }

  private static ColtsfootvaleException invalid(String detail) {
    return NoteErrors.invalid(detail, null);
  }

  /** Applies a note to the items of one kind. */
  private record Section<K, V>(String kind, Map<K, V> current, Function<V, K> idOf) {

    Map<K, V> apply(List<V> added, List<V> changed, List<K> withdrawn) {
      if (added.isEmpty() && changed.isEmpty() && withdrawn.isEmpty()) {
        return current;
      }
      Map<K, V> next = new HashMap<>(current);
      Set<K> seenIds = new HashSet<>();
      withdrawn.forEach(id -> withdraw(next, seenIds, id));
      changed.forEach(item -> change(next, seenIds, item));
      added.forEach(item -> add(next, seenIds, item));
      return next;
    }

    private void withdraw(Map<K, V> next, Set<K> seenIds, K id) {
      requireUnique(seenIds, id);
      if (next.remove(id) == null) {
        throw conflict(id, "cannot be withdrawn, for it does not exist");
      }
    }

    private void change(Map<K, V> next, Set<K> seenIds, V item) {
      K id = idOf.apply(item);
      requireUnique(seenIds, id);
      if (next.replace(id, item) == null) {
        throw conflict(id, "cannot be changed, for it does not exist; add it");
      }
    }

    private void add(Map<K, V> next, Set<K> seenIds, V item) {
      K id = idOf.apply(item);
      requireUnique(seenIds, id);
      if (next.putIfAbsent(id, item) != null) {
        throw conflict(id, "cannot be added, for it exists; change it");
      }
    }

    private void requireUnique(Set<K> seenIds, K id) {
      if (!seenIds.add(id)) {
        throw invalid("The " + kind + " '" + id + "' stands twice in the note; name it once.");
      }
    }

    private ColtsfootvaleException conflict(K id, String reason) {
      return ColtsfootvaleException.notRun(
          ErrorKind.NOTE_CONFLICT, "The " + kind + " '" + id + "' " + reason + ".");
    }
  }
}
