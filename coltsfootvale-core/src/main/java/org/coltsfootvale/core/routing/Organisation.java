package org.coltsfootvale.core.routing;

import java.util.OptionalInt;

/**
 * An organisation whose keys callers present.
 *
 * @param name its name, as backend servers learn it
 * @param priority its rank, 0 is the most urgent; goes before the rank of the route
 */
public record Organisation(String name, OptionalInt priority) {}
