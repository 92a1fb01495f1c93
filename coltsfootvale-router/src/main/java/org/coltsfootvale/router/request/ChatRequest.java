package org.coltsfootvale.router.request;

import org.coltsfootvale.core.model.ModelId;
import org.coltsfootvale.core.model.RequestClass;
import org.coltsfootvale.core.placement.CacheHint;
import org.jspecify.annotations.Nullable;

/**
 * A parsed chat request.
 *
 * @param model the requested model
 * @param chat the chat's id within the organisation
 * @param requestClass the priority class
 * @param promptTokens the estimated length of the prompt, in tokens
 * @param outputTokens the expected length of the answer in tokens, at least 1
 * @param stream whether the caller wants the answer streamed
 * @param hint the engine that computed the chat's last answer, or null
 * @param engineBody the body sent to engines, always with streaming enabled
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
