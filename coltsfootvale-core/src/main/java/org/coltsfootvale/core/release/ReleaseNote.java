package org.coltsfootvale.core.release;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * A release note: what is added, what is changed and what is withdrawn.
 *
 * @param id the operator's name for the note, unique over all notes
 * @param added new items
 * @param changed items that replace those of the same id
 * @param withdrawn ids of items that are removed
 */
public record ReleaseNote(String id, Items added, Items changed, Ids withdrawn) {

  /**
   * Items by kind; every list may be empty.
   *
   * @param policy the placement rules, only under {@code changed}; null to leave them
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
