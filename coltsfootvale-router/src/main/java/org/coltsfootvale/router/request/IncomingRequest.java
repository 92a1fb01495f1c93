package org.coltsfootvale.router.request;

import java.time.Instant;
import okhttp3.Headers;
import org.coltsfootvale.core.model.OrganisationId;
import org.jspecify.annotations.Nullable;

/**
 * An authenticated request of a caller, as the router it reached or its home serves it.
 *
 * @param requestId names this request in answers and logs
 * @param organisation the caller's organisation
 * @param method the HTTP method
 * @param path the encoded path
 * @param query the encoded query, or null
 * @param headers the caller's headers
 * @param body the whole body, possibly empty; not to be modified
 * @param deadline the time by which the answer is wanted
 * @param forwarded whether a peer has forwarded it; it is then not forwarded again
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
