package org.coltsfootvale.core.admission;

import org.coltsfootvale.core.model.OrganisationId;
import org.coltsfootvale.core.model.RequestClass;

/** Enforces this router's share of each organisation's fleet-wide limits. */
public interface AdmissionController {

  /**
   * Admits a request or refuses it immediately.
   *
   * @param tokens the estimated prompt and answer tokens
   * @throws org.coltsfootvale.core.error.ColtsfootvaleException ORGANISATION_LIMIT or OVERLOADED,
   *     with outcome NOT_RUN and a randomised retry delay
   */
  Permit admit(OrganisationId organisation, RequestClass requestClass, long tokens);

  /** An admitted request. */
  interface Permit {

    /** Replaces the estimated tokens by those used; later calls have no effect. */
    void finish(long tokensUsed);
  }
}
