package org.coltsfootvale.core.admission;

import org.coltsfootvale.core.release.OrganisationSpec;

/** Provides this router's current share of an organisation's fleet-wide limits. */
@FunctionalInterface
public interface ShareSource {

  /** Returns the share of an organisation. */
  ShareGrant.Share shareOf(OrganisationSpec organisation);
}
