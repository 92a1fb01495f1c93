package org.coltsfootvale.core.model;

import org.coltsfootvale.core.support.Checks;

/**
 * The address of a process.
 *
 * @param host the IP address
 * @param port the TCP port, 1 to 65535
 */
public record HostPort(String host, int port) {

  /** Checks the parts. */
  public HostPort {
    Checks.argument(!host.isBlank(), "host must not be blank; give an IP number");
    Checks.argument(port >= 1 && port <= 65535, "port must be in 1..65535, but is %d", port);
  }

  /**
   * Parses {@code host:port}.
   *
   * @throws IllegalArgumentException if the text has another form
   */
  public static HostPort parse(String text) {
    int colon = text.lastIndexOf(':');
    Checks.argument(colon > 0, "'%s' is not an address; write host:port", text);
    String portText = text.substring(colon + 1);
    Checks.argument(
        portText.matches("[0-9]{1,5}"), "'%s' has no valid port; write host:port", text);
    return new HostPort(text.substring(0, colon), Integer.parseInt(portText));
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
