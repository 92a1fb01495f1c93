package org.coltsfootvale.core.once;

import java.time.Instant;
import org.coltsfootvale.core.model.OrganisationId;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.jspecify.annotations.Nullable;

/**
 * A parsed idempotency key.
 *
 * @param organisation the organisation that the key belongs to
 * @param text the complete key as sent by the caller
 * @param home the only router that may execute it, or null if the key names none
 * @param expiresAt the time from which the home refuses it; {@link Instant#MAX} without a home
 */
public record IdempotencyKey(
    OrganisationId organisation,
    String text,
    @Nullable RouterIncarnation home,
    Instant expiresAt) {}
