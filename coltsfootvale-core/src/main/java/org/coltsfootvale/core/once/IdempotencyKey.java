package org.coltsfootvale.core.once;

import java.time.Instant;
import org.coltsfootvale.core.model.OrganisationId;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.jspecify.annotations.Nullable;

/**
 * A parsed idempotency key.
 *
 * @param organisation the organisation it belongs to
 * @param text the whole key as the caller sent it
 * @param home the only router that may run it, or null if the key names none
 * @param expiresAt the time from which its home refuses it; {@link Instant#MAX} without a home
 */
public record IdempotencyKey(
    OrganisationId organisation,
    String text,
    @Nullable RouterIncarnation home,
    Instant expiresAt) {}
