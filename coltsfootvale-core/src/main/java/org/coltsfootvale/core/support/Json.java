package org.coltsfootvale.core.support;

import com.fasterxml.jackson.databind.ObjectMapper;

/** The JSON reader and writer that all parts without special needs share; it is dear to create. */
public final class Json {

  /** Reads and writes trees; thread-safe. */
  public static final ObjectMapper MAPPER = new ObjectMapper();

  private Json() {}
}
