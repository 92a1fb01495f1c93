package org.coltsfootvale.core.once;

import java.util.List;
import java.util.Map;

/**
 * The final answer of a request with a key, kept at its home for repeated callers.
 *
 * @param status the HTTP status
 * @param headers the headers that are replayed
 * @param body the body, possibly empty; not to be modified
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoredAnswer(int status, Map<String, List<String>> headers, byte[] body) {}
