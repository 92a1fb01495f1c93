package org.coltsfootvale.core.admission;

import org.coltsfootvale.core.release.OrganisationSpec;

/** Tells which part of an organisation's fleet-wide limits this router may use now. */
@FunctionalInterface
public interface ShareSource {

  /** Returns the share of an organisation. */
  ShareGrant.Share shareOf(OrganisationSpec organisation);
}
