package org.coltsfootvale.router.serving;

import org.coltsfootvale.core.model.HostPort;

/**
 * Where metrics are served.
 *
 * @param address the address of the listener
 * @param path the path of the page, beginning with a slash
 */
public record MetricsAddress(HostPort address, String path) {}
