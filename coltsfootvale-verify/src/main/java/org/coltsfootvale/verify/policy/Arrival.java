package org.coltsfootvale.verify.policy;

import org.coltsfootvale.core.model.OrganisationId;
import org.coltsfootvale.core.model.RequestClass;

/**
 * Request of a simulated workload.
 *
 * @param timeMillis the arrival time in milliseconds since the start
 * @param router the index of the router that receives it
 * @param organisation the organisation of the caller
 * @param requestClass the class, which sets the priority
 * @param chat the number of the chat
 * @param promptTokens the length of the prompt, including earlier turns
 * @param outputTokens the length of the answer
 * @param reusableTokens the prompt tokens already computed for earlier turns
 * @param inSurge whether it arrives during a surge
 */
record Arrival(
    long timeMillis,
    int router,
    OrganisationId organisation,
    RequestClass requestClass,
    int chat,
    int promptTokens,
    int outputTokens,
    int reusableTokens,
    boolean inSurge) {}
