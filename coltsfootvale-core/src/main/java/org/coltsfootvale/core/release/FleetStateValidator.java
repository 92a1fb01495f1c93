package org.coltsfootvale.core.release;

import java.net.URI;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import java.util.regex.Pattern;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.model.ModelId;
import org.coltsfootvale.core.support.Checks;

/** Validates a complete fleet state: every value, every reference, and sums over all items. */
final class FleetStateValidator {

  private static final Pattern SHA_256 = Pattern.compile("[0-9a-f]{64}");
  private static final Set<String> ROLES = Set.of("mixed", "prefill", "decode");
  private static final double RATE_MAX = 1e12;
  private static final double LOAD_BOUND_MAX = 100;
  private static final int CANDIDATES_MAX = 64;
  private static final int CONTEXT_TOKENS_MAX = 100_000_000;
  private static final int BODY_BYTES_MAX = 256 * 1024 * 1024;
  private static final int TEXT_CHARACTERS_MAX = 256;
  private static final int LIST_ITEMS_MAX = 256;

  /**
   * Validates the state that results from a note.
   *
   * @throws ColtsfootvaleException INVALID_NOTE with the item, the field and the remedy
   */
  void validate(FleetState before, FleetState next) {
    sorted(next.models()).forEach(this::model);
    sorted(next.pools()).forEach(this::pool);
    sorted(next.engines()).forEach(engine -> engine(next, engine));
    sorted(next.organisations()).forEach(this::organisation);
    sorted(next.services()).forEach(this::service);
    sorted(next.operators()).forEach(this::operator);
    policy(next.policy());
    uniqueCredentials(next);
    uniqueBackends(next);
    sums(next);
    if (!before.operators().isEmpty() && next.operators().isEmpty()) {
      throw invalid("The last operator cannot be withdrawn; add another one first.");
    }
  }

  private void model(ModelSpec model) {
    String name = "model '" + model.id() + "'";
    range(name, "contextTokensMax", model.contextTokensMax(), 1, CONTEXT_TOKENS_MAX);
  }

  private void pool(PoolSpec pool) {
    String name = "pool '" + pool.id() + "'";
    text(name, "modelVersion", pool.modelVersion());
    pool.adapters().forEach(adapter -> text(name, "adapters", adapter));
    distinct(name, "adapters", pool.adapters());
    if (!ROLES.contains(pool.role())) {
      throw invalid(
          name + ": role '" + pool.role() + "' is not known; write mixed, prefill or decode.");
    }
  }

  private void engine(FleetState next, EngineSpec engine) {
    String name = "engine '" + engine.id() + "'";
    address(name, engine.address());
    positive(name, "prefillTokensPerSecond", engine.prefillTokensPerSecond());
    if (!next.pools().containsKey(engine.pool())) {
      throw danglingReference(name, "pool", engine.pool());
    }
    atLeastOne(name, "models", engine.models());
    distinct(name, "models", engine.models());
    for (ModelId model : engine.models()) {
      if (!next.models().containsKey(model)) {
        throw danglingReference(name, "model", model);
      }
    }
  }

  private void organisation(OrganisationSpec organisation) {
    String name = "organisation '" + organisation.id() + "'";
    atLeastOne(name, "keyHashes", organisation.keyHashes());
    organisation.keyHashes().forEach(hash -> hash(name, "keyHashes", hash));
    positive(name, "weight", organisation.weight());
    positive(name, "requestsPerSecond", organisation.requestsPerSecond());
    positive(name, "tokensPerSecond", organisation.tokensPerSecond());
  }

  private void service(ServiceSpec service) {
    String name = "service '" + service.id() + "'";
    atLeastOne(name, "replicas", service.replicas());
    range(name, "bodyBytesMax", service.bodyBytesMax(), 1, BODY_BYTES_MAX);
    for (ServiceSpec.Replica replica : service.replicas()) {
      identifier(name + " replica", replica.id());
      address(name + " replica '" + replica.id() + "'", replica.address());
    }
  }

  private void operator(OperatorSpec operator) {
    identifier("operator", operator.id());
    hash("operator '" + operator.id() + "'", "tokenHash", operator.tokenHash());
  }

  private void policy(PolicySpec policy) {
    if (!(policy.loadBound() > 1 && policy.loadBound() <= LOAD_BOUND_MAX)) {
      throw invalid(
          "policy: loadBound must be more than 1 and at most "
              + LOAD_BOUND_MAX
              + ", but is "
              + policy.loadBound()
              + ".");
    }
    range("policy", "candidates", policy.candidates(), 1, CANDIDATES_MAX);
  }

  private void uniqueCredentials(FleetState next) {
    Map<String, String> owners = new HashMap<>();
    for (OrganisationSpec organisation : sorted(next.organisations())) {
      String name = "organisation '" + organisation.id() + "'";
      organisation
          .keyHashes()
          .forEach(hash -> requireUnique(owners, hash, name, "credential hash"));
    }
    for (OperatorSpec operator : sorted(next.operators())) {
      requireUnique(
          owners, operator.tokenHash(), "operator '" + operator.id() + "'", "credential hash");
    }
  }

  private void uniqueBackends(FleetState next) {
    Map<String, String> ids = new HashMap<>();
    Map<String, String> addresses = new HashMap<>();
    for (EngineSpec engine : sorted(next.engines())) {
      String name = "engine '" + engine.id() + "'";
      requireUnique(ids, engine.id().value(), name, "name");
      requireUnique(addresses, engine.address().toString(), name, "address");
    }
    for (ServiceSpec service : sorted(next.services())) {
      String name = "service '" + service.id() + "'";
      for (ServiceSpec.Replica replica : service.replicas()) {
        requireUnique(ids, replica.id(), name, "name");
        requireUnique(addresses, replica.address().toString(), name, "address");
      }
    }
  }

  private void sums(FleetState next) {
    Collection<OrganisationSpec> all = sorted(next.organisations());
    sum(all, "weight", OrganisationSpec::weight);
    sum(all, "requestsPerSecond", OrganisationSpec::requestsPerSecond);
    sum(all, "tokensPerSecond", OrganisationSpec::tokensPerSecond);
  }

  private static void sum(
      Collection<OrganisationSpec> all, String field, ToDoubleFunction<OrganisationSpec> value) {
    double sum = all.stream().mapToDouble(value).sum();
    if (!(sum <= RATE_MAX)) {
      throw invalid(
          "The sum of "
              + field
              + " over all organisations is "
              + sum
              + "; keep it at most "
              + RATE_MAX
              + ".");
    }
  }

  /** Returns the items in order of their ids, so that the first reported error is deterministic. */
  private static <K extends Comparable<? super K>, V> Collection<V> sorted(Map<K, V> items) {
    return new TreeMap<>(items).values();
  }

  private static void requireUnique(
      Map<String, String> owners, String key, String owner, String what) {
    String other = owners.putIfAbsent(key, owner);
    if (other != null) {
      throw invalid(
          "The "
              + what
              + " '"
              + key
              + "' stands at "
              + other
              + " and at "
              + owner
              + "; give each its own.");
    }
  }

  private static void address(String name, URI address) {
    String scheme = address.getScheme() == null ? "" : address.getScheme();
    boolean http = Set.of("http", "https").contains(scheme.toLowerCase(Locale.ROOT));
    if (!http || address.getHost() == null || address.getPort() < 1) {
      throw invalid(name + ": address '" + address + "' must have the form http://ip:port.");
    }
  }

  private static void identifier(String name, String value) {
    try {
      Checks.identifier(value, name);
    } catch (IllegalArgumentException e) {
      throw NoteErrors.invalid(e.getMessage() + ".", e);
    }
  }

  private static void hash(String name, String field, String value) {
    if (!SHA_256.matcher(value).matches()) {
      throw invalid(
          name + ": " + field + " must hold SHA-256 as 64 lower-case hexadecimal digits.");
    }
  }

  private static void text(String name, String field, String value) {
    if (value.isBlank() || value.length() > TEXT_CHARACTERS_MAX) {
      throw invalid(
          name + ": " + field + " must have 1 to " + TEXT_CHARACTERS_MAX + " characters.");
    }
  }

  private static void positive(String name, String field, double value) {
    if (!(value > 0 && value <= RATE_MAX)) {
      throw invalid(
          name
              + ": "
              + field
              + " must be more than 0 and at most "
              + RATE_MAX
              + ", but is "
              + value
              + ".");
    }
  }

  private static void range(String name, String field, int value, int min, int max) {
    if (value < min || value > max) {
      throw invalid(
          name + ": " + field + " must be in " + min + ".." + max + ", but is " + value + ".");
    }
  }

  private static void atLeastOne(String name, String field, List<?> values) {
    if (values.isEmpty() || values.size() > LIST_ITEMS_MAX) {
      throw invalid(
          name
              + ": "
              + field
              + " must have 1 to "
              + LIST_ITEMS_MAX
              + " items, but has "
              + values.size()
              + ".");
    }
  }

  private static void distinct(String name, String field, List<?> values) {
    if (new HashSet<>(values).size() != values.size()) {
      throw invalid(name + ": " + field + " names an item twice; name it once.");
    }
  }

  private static ColtsfootvaleException danglingReference(String name, String kind, Object target) {
    return invalid(
        name
            + " refers to the "
            + kind
            + " '"
            + target
            + "', which does not exist after this note; add it, or change the reference.");
  }

  private static ColtsfootvaleException invalid(String detail) {
    return NoteErrors.invalid(detail, null);
  }
}
