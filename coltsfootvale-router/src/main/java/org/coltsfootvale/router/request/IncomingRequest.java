package org.coltsfootvale.router.request;

import java.time.Instant;
import okhttp3.Headers;
import org.coltsfootvale.core.model.OrganisationId;
import org.jspecify.annotations.Nullable;

/**
 * An authenticated request of a caller, served by the receiving router or by the key's home.
 *
 * @param requestId identifies this request in answers and logs
 * @param organisation the caller's organisation
 * @param method the HTTP method
 * @param path the encoded path
 * @param query the encoded query, or null
 * @param headers the caller's headers
 * @param body the complete body, possibly empty; must not be modified
 * @param deadline the time by which the answer must be complete
 * @param forwarded whether a peer forwarded the request; such a request is not forwarded again
 */
@SuppressWarnings("ArrayRecordComponent")
public record IncomingRequest(
    String requestId,
    OrganisationId organisation,
    String method,
    String path,
    @Nullable String query,
    Headers headers,
    byte[] body,
    Instant deadline,
    boolean forwarded) {}
