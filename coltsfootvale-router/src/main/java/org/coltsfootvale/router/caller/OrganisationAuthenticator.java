package org.coltsfootvale.router.caller;

import java.security.MessageDigest;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import java.util.function.Supplier;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.model.OrganisationId;
import org.coltsfootvale.core.release.FleetState;
import org.coltsfootvale.core.release.OrganisationSpec;
import org.coltsfootvale.core.support.Digests;
import org.coltsfootvale.router.http.HeadEncoding;
import org.jspecify.annotations.Nullable;

/** Authenticates organisations by the hash of their key, with an index for each fleet state. */
public final class OrganisationAuthenticator {

  private static final String SCHEME = "Bearer ";

  private final Supplier<FleetState> fleet;
  private volatile Index index = new Index(FleetState.empty(), Map.of());

  /** Creates an authenticator for the current state of the fleet. */
  public OrganisationAuthenticator(Supplier<FleetState> fleet) {
    this.fleet = fleet;
  }

  private record Index(FleetState state, Map<String, Entry> entries) {}

  @SuppressWarnings("ArrayRecordComponent")
  private record Entry(byte[] hash, OrganisationId organisation) {}

  /**
   * Returns the organisation of a caller.
   *
   * @param authorization the Authorization header with each byte as a character, or null
   * @throws ColtsfootvaleException UNAUTHENTICATED, with outcome NOT_RUN
   */
  public OrganisationId authenticate(@Nullable String authorization) {
    if (authorization == null || !authorization.startsWith(SCHEME)) {
      throw unauthenticated("the request carries no key");
    }
    byte[] hash =
        HeadEncoding.decode(authorization.substring(SCHEME.length()).strip())
            .map(Digests::sha256)
            .orElseThrow(() -> unauthenticated("the key is not UTF-8"));
    @Nullable Entry entry = index().entries().get(HexFormat.of().formatHex(hash));
    if (entry == null || !MessageDigest.isEqual(entry.hash(), hash)) {
      throw unauthenticated("the key belongs to no organisation");
    }
    return entry.organisation();
  }

  private Index index() {
    FleetState state = fleet.get();
    Index current = index;
    if (current.state() != state) {
      current = new Index(state, entries(state));
      index = current;
    }
    return current;
  }

  private static Map<String, Entry> entries(FleetState state) {
    Map<String, Entry> entries = new HashMap<>();
    for (OrganisationSpec organisation : state.organisations().values()) {
      for (String hash : organisation.keyHashes()) {
        entries.put(hash, new Entry(HexFormat.of().parseHex(hash), organisation.id()));
      }
    }
    return entries;
  }

  private static ColtsfootvaleException unauthenticated(String detail) {
    return ColtsfootvaleException.notRun(ErrorKind.UNAUTHENTICATED, detail);
  }
}
