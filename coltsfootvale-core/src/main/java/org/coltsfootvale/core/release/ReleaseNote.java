package org.coltsfootvale.core.release;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * A release note: the items that it adds, changes and withdraws.
 *
 * @param id the operator's name for the note, unique among all notes
 * @param added new items
 * @param changed items that replace those with the same id
 * @param withdrawn ids of items that are removed
 */
public record ReleaseNote(String id, Items added, Items changed, Ids withdrawn) {

  /**
   * Items by kind; every list may be empty.
   *
   * @param policy the placement rules, allowed only under {@code changed}; null leaves them
   *     unchanged
   */
  public record Items(
      List<OrganisationSpec> organisations,
      List<ModelSpec> models,
      List<PoolSpec> pools,
      List<EngineSpec> engines,
      List<ServiceSpec> services,
      List<OperatorSpec> operators,
      @Nullable PolicySpec policy) {

    /** Copies the lists. */
    public Items {
      organisations = List.copyOf(organisations);
      models = List.copyOf(models);
      pools = List.copyOf(pools);
      engines = List.copyOf(engines);
      services = List.copyOf(services);
      operators = List.copyOf(operators);
    }
  }

  /** Ids by kind; every list may be empty. */
  public record Ids(
      List<String> organisations,
      List<String> models,
      List<String> pools,
      List<String> engines,
      List<String> services,
      List<String> operators) {

    /** Copies the lists. */
    public Ids {
      organisations = List.copyOf(organisations);
      models = List.copyOf(models);
      pools = List.copyOf(pools);
      engines = List.copyOf(engines);
      services = List.copyOf(services);
      operators = List.copyOf(operators);
    }
  }
}
