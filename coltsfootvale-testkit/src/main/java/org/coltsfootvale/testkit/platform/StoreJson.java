package org.coltsfootvale.testkit.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import org.coltsfootvale.testkit.support.Json;

/**
 * The JSON format of the key-value service: base64 for keys and values, strings for 64-bit numbers,
 * field names in snake case or camel case, fields with default values omitted.
 */
final class StoreJson {

  private StoreJson() {}

  /** Returns a field by either of its names, or a missing node if it is absent. */
  static JsonNode field(JsonNode node, String snakeCase, String camelCase) {
    JsonNode found = node.path(snakeCase);
    return found.isMissingNode() ? node.path(camelCase) : found;
  }

  /** Returns the key in a field, empty if the field is absent. */
  static String key(JsonNode encoded) {
    return new String(bytes(encoded), StandardCharsets.ISO_8859_1);
  }

  /** Returns the bytes in a field, none if the field is absent. */
  static byte[] bytes(JsonNode encoded) {
    return Base64.getDecoder().decode(encoded.asText(""));
  }

  /** Returns the number in a field, 0 if the field is absent. */
  static long number(JsonNode node) {
    return node.asLong(0);
  }

  /** Returns an answer with the header common to all answers. */
  static ObjectNode answer(long revision) {
    ObjectNode answer = Json.object();
    answer
        .putObject("header")
        .put("cluster_id", "1")
        .put("member_id", "1")
        .put("revision", Long.toString(revision))
        .put("raft_term", "1");
    return answer;
  }

  /**
   * Adds the entries, up to a limit (0 for none), and their total number to the answer of a range.
   */
  static void putEntries(ObjectNode answer, List<Entry> found, long limit) {
    boolean cut = limit > 0 && found.size() > limit;
    List<Entry> shown = cut ? found.subList(0, (int) limit) : found;
    if (!shown.isEmpty()) {
      ArrayNode kvs = answer.putArray("kvs");
      shown.forEach(entry -> kvs.add(entry(entry)));
    }
    if (cut) {
      answer.put("more", true);
    }
    answer.put("count", Integer.toString(found.size()));
  }

  /** Returns a watch event in JSON. */
  static ObjectNode event(StoreEvent event) {
    ObjectNode node = Json.object();
    if (event.deleted()) {
      node.put("type", "DELETE");
    }
    node.set("kv", entry(event.entry()));
    return node;
  }

  private static ObjectNode entry(Entry entry) {
    ObjectNode node = Json.object();
    node.put("key", encode(entry.key().getBytes(StandardCharsets.ISO_8859_1)));
    putNumber(node, "create_revision", entry.createRevision());
    putNumber(node, "mod_revision", entry.modRevision());
    putNumber(node, "version", entry.version());
    if (entry.value().length > 0) {
      node.put("value", encode(entry.value()));
    }
    putNumber(node, "lease", entry.leaseId());
    return node;
  }

  private static void putNumber(ObjectNode node, String name, long value) {
    if (value != 0) {
      node.put(name, Long.toString(value));
    }
  }

  private static String encode(byte[] bytes) {
    return Base64.getEncoder().encodeToString(bytes);
  }
}
