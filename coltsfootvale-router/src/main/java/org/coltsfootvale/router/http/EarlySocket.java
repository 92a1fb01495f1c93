package org.coltsfootvale.router.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;

/**
 * Opens a listening socket before anything else of a process is loaded. Callers that connect while
 * the process starts then wait to be accepted, instead of being refused. Needs nothing but the JDK:
 * each further class would delay the socket.
 */
public final class EarlySocket {

  /** The connections that wait to be accepted at most. */
  static final int BACKLOG = 1_024;

  private EarlySocket() {}

  /**
   * Opens a socket.
   *
   * @param address an IP address and a port, separated by a colon
   * @throws IllegalArgumentException if the address has another form
   * @throws UncheckedIOException if nothing can listen there
   */
  public static ServerSocketChannel open(String address) {
    int colon = address.lastIndexOf(':');
    if (colon <= 0) {
      throw new IllegalArgumentException(
          "'" + address + "' is no address; give it as IP:PORT, e.g. 10.1.0.40:8227");
    }
    try {
      ServerSocketChannel socket = ServerSocketChannel.open();
      socket.setOption(StandardSocketOptions.SO_REUSEADDR, true);
      socket.bind(
          new InetSocketAddress(
              address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
          BACKLOG);
      return socket;
    } catch (IOException e) {
      throw new UncheckedIOException("nothing can listen at " + address, e);
    }
  }
}
