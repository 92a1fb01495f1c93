package org.coltsfootvale.core.once;

import java.util.List;
import java.util.Map;

/**
 * The final answer to a request with an idempotency key, stored at its home for retries of the
 * caller.
 *
 * @param status the HTTP status
 * @param headers the headers returned to retries
 * @param body the body, possibly empty; must not be modified
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoredAnswer(int status, Map<String, List<String>> headers, byte[] body) {}
