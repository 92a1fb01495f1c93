package org.coltsfootvale.verify.memory;

import java.net.URI;
import java.util.List;
import java.util.function.IntFunction;
import java.util.stream.IntStream;
import org.coltsfootvale.core.model.DataCentreId;
import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.model.ModelId;
import org.coltsfootvale.core.model.OrganisationId;
import org.coltsfootvale.core.model.PoolId;
import org.coltsfootvale.core.release.EngineSpec;
import org.coltsfootvale.core.release.ModelSpec;
import org.coltsfootvale.core.release.OrganisationSpec;
import org.coltsfootvale.core.release.PoolSpec;
import org.coltsfootvale.core.release.ReleaseNote;

/**
 * Creates the release notes of a fleet of a given size, with one pool per model.
 *
 * @param engines the number of engines
 * @param organisations the number of organisations
 * @param models the number of models
 */
record FleetNotes(int engines, int organisations, int models) {

  private static final ReleaseNote.Ids NO_IDS =
      new ReleaseNote.Ids(List.of(), List.of(), List.of(), List.of(), List.of(), List.of());
  private static final ReleaseNote.Items NO_ITEMS =
      new ReleaseNote.Items(List.of(), List.of(), List.of(), List.of(), List.of(), List.of(), null);
  private static final int DATA_CENTRES = 8;

  /** Returns a note that adds the complete fleet. */
  ReleaseNote fullNote() {
    ReleaseNote.Items items =
        new ReleaseNote.Items(
            list(organisations, i -> organisation(i, 1)),
            list(models, i -> new ModelSpec(model(i), 32_000)),
            list(models, i -> new PoolSpec(pool(i), "version-1", List.of("adapter-1"), "mixed")),
            list(engines, this::engine),
            List.of(),
            List.of(),
            null);
    return new ReleaseNote("fleet", items, NO_ITEMS, NO_IDS);
  }

  /** Returns a note that changes the weight of one organisation. */
  ReleaseNote changeNote(int number) {
    ReleaseNote.Items changed =
        new ReleaseNote.Items(
            List.of(organisation(number % organisations, 1.0 + number)),
            List.of(),
            List.of(),
            List.of(),
            List.of(),
            List.of(),
            null);
    return new ReleaseNote("change-" + number, NO_ITEMS, changed, NO_IDS);
  }

  private EngineSpec engine(int number) {
    return new EngineSpec(
        new EngineId("engine-" + number),
        pool(number % models),
        URI.create("http://10.20." + number / 250 + "." + number % 250 + ":8000"),
        new DataCentreId("data-centre-" + number % DATA_CENTRES),
        List.of(model(number % models)),
        8000,
        true);
  }

  private static OrganisationSpec organisation(int number, double weight) {
    String hash = String.format("%064x", number);
    return new OrganisationSpec(
        new OrganisationId("organisation-" + number), List.of(hash), weight, 50, 20_000);
  }

  private static ModelId model(int number) {
    return new ModelId("model-" + number);
  }

  private static PoolId pool(int number) {
    return new PoolId("pool-" + number);
  }

  private static <T> List<T> list(int size, IntFunction<T> item) {
    return IntStream.range(0, size).mapToObj(item).toList();
  }
}
