package org.coltsfootvale.core.placement;

import java.util.Optional;
import org.coltsfootvale.core.model.OrganisationId;

/**
 * Issues and verifies the continuation tokens that carry a {@link CacheHint} to the caller and
 * back.
 */
public interface ContinuationTokens {

  /** Returns an authenticated token bound to the organisation and the chat. */
  String issue(OrganisationId organisation, String chat, CacheHint hint);

  /**
   * Verifies a token and returns its hint, or empty if the token has expired.
   *
   * @throws org.coltsfootvale.core.error.ColtsfootvaleException MALFORMED_REQUEST if the text is
   *     not a token, FORBIDDEN if it is forged or belongs to another organisation or chat; both
   *     with outcome NOT_RUN
   */
  Optional<CacheHint> verify(OrganisationId organisation, String chat, String token);
}
