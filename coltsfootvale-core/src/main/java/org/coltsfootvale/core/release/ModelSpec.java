package org.coltsfootvale.core.release;

import org.coltsfootvale.core.model.ModelId;

/**
 * A model that callers may request.
 *
 * @param id its name
 * @param contextTokensMax the maximum number of prompt and answer tokens of a request
 */
public record ModelSpec(ModelId id, int contextTokensMax) {}
