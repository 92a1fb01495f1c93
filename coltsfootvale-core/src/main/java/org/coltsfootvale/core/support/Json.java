package org.coltsfootvale.core.support;

import com.fasterxml.jackson.databind.ObjectMapper;

/** The JSON mapper shared by code without special needs, because creating a mapper is expensive. */
public final class Json {

  /** Reads and writes trees; thread-safe. */
  public static final ObjectMapper MAPPER = new ObjectMapper();

  private Json() {}
}
