package org.coltsfootvale.core.admission;

import org.coltsfootvale.core.model.OrganisationId;
import org.coltsfootvale.core.model.RequestClass;

/** Enforces this router's share of each organisation's fleet-wide limits. */
public interface AdmissionController {

  /**
   * Admits a request or refuses it at once.
   *
   * @param tokens the estimated prompt and answer tokens
   * @throws org.coltsfootvale.core.error.ColtsfootvaleException ORGANISATION_LIMIT or OVERLOADED,
   *     not run, with a time to retry that spreads the callers
   */
  Permit admit(OrganisationId organisation, RequestClass requestClass, long tokens);

  /** An admitted request. */
  interface Permit {

    /** Settles the tokens that were used against the estimate; later calls do nothing. */
    void finish(long tokensUsed);
  }
}
