package org.coltsfootvale.core.release;

/** Reads and writes release notes. */
public interface ReleaseNoteCodec {

  /**
   * Reads a note in YAML.
   *
   * @throws org.coltsfootvale.core.error.ColtsfootvaleException INVALID_NOTE with the line, the
   *     field and the remedy
   */
  ReleaseNote readYaml(String yaml);

  /**
   * Writes an accepted note in the compact form that is stored in the platform and sent to peers.
   */
  byte[] write(AcceptedNote note);

  /**
   * Reads the compact form.
   *
   * @throws org.coltsfootvale.core.error.ColtsfootvaleException INVALID_NOTE
   */
  AcceptedNote read(byte[] bytes);
}
