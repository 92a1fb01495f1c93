package org.coltsfootvale.core.placement;

import java.util.Optional;
import org.coltsfootvale.core.model.OrganisationId;

/** Writes and checks the continuation tokens that carry a {@link CacheHint} to the caller. */
public interface ContinuationTokens {

  /** Returns a token, authenticated and bound to the organisation and the chat. */
  String issue(OrganisationId organisation, String chat, CacheHint hint);

  /**
   * Checks a token and returns its hint, or empty if it is too old to be of use.
   *
   * @throws org.coltsfootvale.core.error.ColtsfootvaleException MALFORMED_REQUEST if the text is no
   *     token, FORBIDDEN if it is forged or belongs to another organisation or chat; not run
   */
  Optional<CacheHint> verify(OrganisationId organisation, String chat, String token);
}
