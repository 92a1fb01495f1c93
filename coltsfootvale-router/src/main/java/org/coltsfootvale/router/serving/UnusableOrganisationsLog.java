package org.coltsfootvale.router.serving;

import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.coltsfootvale.core.decision.Decision;
import org.coltsfootvale.core.decision.DecisionEvent;
import org.coltsfootvale.core.decision.DecisionLog;
import org.coltsfootvale.core.routing.Organisations;
import org.coltsfootvale.core.routing.UnusableOrganisation;

/**
 * Records the organisations and API keys that cannot be used, once when a desired state brings
 * them.
 */
final class UnusableOrganisationsLog {

  private static final String REMEDY =
      "write a text without control characters, lone surrogates, and blanks at its ends";

  private final DecisionLog log;

  UnusableOrganisationsLog(DecisionLog log) {
    this.log = log;
  }

  /**
   * Records what the organisations before a change of the desired state did not have.
   *
   * @param version the version of the desired state after the change
   */
  void recordNew(Optional<Organisations> before, Organisations after, long version) {
    Set<String> names = new HashSet<>(names(after));
    names.removeAll(before.map(UnusableOrganisationsLog::names).orElse(Set.of()));
    names.forEach(
        name ->
            log.record(
                Decision.of(DecisionEvent.ORGANISATION_UNUSABLE)
                    .with("organisation", name)
                    .with("version", version)
                    .with("remedy", REMEDY)));
    Map<String, Integer> countsBefore =
        before.map(Organisations::unusableKeyCounts).orElse(Map.of());
    after
        .unusableKeyCounts()
        .forEach(
            (name, count) -> {
              if (!countsBefore.containsKey(name)) {
                log.record(
                    Decision.of(DecisionEvent.API_KEYS_UNUSABLE)
                        .with("organisation", name)
                        .with("keys", (long) count)
                        .with("version", version)
                        .with("remedy", REMEDY));
              }
            });
  }

  private static Set<String> names(Organisations organisations) {
    return organisations.unusable().stream()
        .map(UnusableOrganisation::name)
        .collect(Collectors.toSet());
  }
}
