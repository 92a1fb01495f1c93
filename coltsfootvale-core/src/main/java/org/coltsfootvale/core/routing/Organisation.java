package org.coltsfootvale.core.routing;

import java.util.OptionalInt;

/**
 * An organisation whose API keys callers present.
 *
 * @param name its name, as sent to backend servers
 * @param priority its priority, 0 is the most urgent; overrides the priority of the route
 */
public record Organisation(String name, OptionalInt priority) {}
