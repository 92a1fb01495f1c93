package org.coltsfootvale.router.request;

import org.coltsfootvale.core.model.ModelId;
import org.coltsfootvale.core.model.RequestClass;
import org.coltsfootvale.core.placement.CacheHint;
import org.jspecify.annotations.Nullable;

/**
 * What the router reads of a chat.
 *
 * @param model the model asked for
 * @param chat the chat's id within the organisation
 * @param requestClass the priority class
 * @param promptTokens the estimated length of the prompt
 * @param outputTokens the expected length of the answer, at least 1
 * @param stream whether the caller wants the answer streamed
 * @param hint where the chat's last answer was computed, or null
 * @param engineBody the body to send to engines, which always stream
 */
@SuppressWarnings("ArrayRecordComponent")
record ChatRequest(
    ModelId model,
    String chat,
    RequestClass requestClass,
    int promptTokens,
    int outputTokens,
    boolean stream,
    @Nullable CacheHint hint,
    byte[] engineBody) {}
