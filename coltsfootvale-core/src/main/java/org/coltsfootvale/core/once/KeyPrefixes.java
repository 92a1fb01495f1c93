package org.coltsfootvale.core.once;

import org.coltsfootvale.core.model.RouterIncarnation;

/** Creates and parses key prefixes. */
public interface KeyPrefixes {

  /** Returns a new authenticated prefix whose home is the given router. */
  String mint(RouterIncarnation home);

  /**
   * Parses a key. A text that does not have the form of a prefix and a counter has no home.
   *
   * @throws org.coltsfootvale.core.error.ColtsfootvaleException MALFORMED_KEY, not run, if the text
   *     has the form of a prefixed key but is not authentic, or is empty or too long. An expired
   *     key is parsed without error; its home reports an unknown outcome
   */
  IdempotencyKey parse(org.coltsfootvale.core.model.OrganisationId organisation, String text);
}
