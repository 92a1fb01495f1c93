package org.coltsfootvale.verify.process;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * HTTP response, or the failure to get one.
 *
 * @param status the HTTP status, or 0 if there was no response
 * @param body the body, or the message of the failure
 */
record HttpReply(int status, String body) {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** Returns the body as JSON, or a missing node if it is not JSON. */
  JsonNode json() {
    try {
      return MAPPER.readTree(body);
    } catch (JsonProcessingException e) {
      return MAPPER.missingNode();
    }
  }

  /** Returns the outcome of a problem detail, or an empty string if there is none. */
  String outcome() {
    return json().path("outcome").asText();
  }
}
