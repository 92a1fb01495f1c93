package org.coltsfootvale.verify.policy;

import org.coltsfootvale.core.model.OrganisationId;
import org.coltsfootvale.core.model.RequestClass;

/**
 * A request of the workload.
 *
 * @param timeMillis when it arrives
 * @param router the router it arrives at
 * @param organisation the caller's organisation
 * @param requestClass the priority class
 * @param chat the chat's number
 * @param promptTokens the prompt, earlier turns included
 * @param outputTokens the answer
 * @param reusableTokens what earlier turns have computed already
 * @param surge whether it arrives during a surge
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
    boolean surge) {}
