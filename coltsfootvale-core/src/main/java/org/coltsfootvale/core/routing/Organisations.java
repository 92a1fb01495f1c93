package org.coltsfootvale.core.routing;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The organisations of a desired state. Immutable. */
public final class Organisations {

  private final Map<String, Organisation> byKey;
  private final List<UnusableOrganisation> unusable;
  private final Map<String, Integer> unusableKeyCounts;
  private final Set<String> withdrawnKeys = new HashSet<>();

  /**
   * Creates the organisations of a desired state.
   *
   * @param byKey the usable organisations by each of their API keys, as requests represent them
   * @param unusable the other ones; a key that a usable organisation has as well belongs to that
   * @param unusableKeyCounts how many keys callers cannot present, by the name of the organisation
   */
  public Organisations(
      Map<String, Organisation> byKey,
      List<UnusableOrganisation> unusable,
      Map<String, Integer> unusableKeyCounts) {
    this.byKey = Map.copyOf(byKey);
    this.unusable = List.copyOf(unusable);
    this.unusableKeyCounts = Map.copyOf(unusableKeyCounts);
    unusable.forEach(organisation -> withdrawnKeys.addAll(organisation.keys()));
    withdrawnKeys.removeAll(byKey.keySet());
  }

  /** Returns the usable organisation of an API key. */
  Optional<Organisation> of(String key) {
    return Optional.ofNullable(byKey.get(key));
  }

  /** Returns whether an API key belongs to unusable organisations only. */
  boolean isWithdrawn(String key) {
    return withdrawnKeys.contains(key);
  }

  /** Returns the organisations whose requests are denied. */
  public List<UnusableOrganisation> unusable() {
    return unusable;
  }

  /** Returns how many keys callers cannot present, by the name of the organisation. */
  public Map<String, Integer> unusableKeyCounts() {
    return unusableKeyCounts;
  }
}
