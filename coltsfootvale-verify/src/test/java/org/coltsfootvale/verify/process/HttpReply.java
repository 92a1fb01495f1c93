package org.coltsfootvale.verify.process;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * An answer.
 *
 * @param status the HTTP status, or 0 if no answer came
 * @param body the body, or the failure's message
 */
record HttpReply(int status, String body) {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** Returns the body as JSON, or a missing node if it is none. */
  JsonNode json() {
    try {
      return MAPPER.readTree(body);
    } catch (JsonProcessingException e) {
      return MAPPER.missingNode();
    }
  }

  /** Returns the outcome that a problem states, or an empty text. */
  String outcome() {
    return json().path("outcome").asText();
  }
}
