package org.coltsfootvale.core.once;

import org.coltsfootvale.core.model.RouterIncarnation;

/** Mints and parses key prefixes. */
public interface KeyPrefixes {

  /** Returns a fresh authenticated prefix whose home is the given router. */
  String mint(RouterIncarnation home);

  /**
   * Parses a key. A text that is not of the form of a prefix and a counter has no home.
   *
   * @throws org.coltsfootvale.core.error.ColtsfootvaleException MALFORMED_KEY if the text has the
   *     form of a prefixed key but is not authentic, or is empty or too long; not run. An expired
   *     key is parsed; its home answers it as unknown
   */
  IdempotencyKey parse(org.coltsfootvale.core.model.OrganisationId organisation, String text);
}
