package org.coltsfootvale.protocol;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import org.coltsfootvale.core.model.HostPort;

/** Relays connections until it drops all bytes of the open ones without closing them. */
final class SilencingRelay implements AutoCloseable {

  private final HostPort target;
  private final ServerSocket listening;
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  private volatile AtomicBoolean silenced = new AtomicBoolean();

  SilencingRelay(HostPort target) throws IOException {
    this.target = target;
    listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    start(this::accept);
  }

  HostPort address() {
    return new HostPort(listening.getInetAddress().getHostAddress(), listening.getLocalPort());
  }

  void silenceOpenConnections() {
    silenced.set(true);
    silenced = new AtomicBoolean();
  }

  @Override
  public void close() throws IOException {
    listening.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  private void accept() {
    try {
      while (true) {
        Socket caller = listening.accept();
        Socket callee = new Socket(target.host(), target.port());
        sockets.add(caller);
        sockets.add(callee);
        AtomicBoolean dropped = silenced;
        start(() -> copy(caller, callee, dropped));
        start(() -> copy(callee, caller, dropped));
      }
    } catch (IOException expected) {
      // The relay has been closed.
    }
  }

  private static void copy(Socket from, Socket to, AtomicBoolean dropped) {
    byte[] buffer = new byte[8192];
    try {
      InputStream in = from.getInputStream();
      for (int length = in.read(buffer); length >= 0; length = in.read(buffer)) {
        if (!dropped.get()) {
          to.getOutputStream().write(buffer, 0, length);
          to.getOutputStream().flush();
        }
      }
    } catch (IOException expected) {
      // One of the ends has closed the connection.
    }
  }

  private static void start(Runnable work) {
    Thread thread = new Thread(work, "relay");
    thread.setDaemon(true);
    thread.start();
  }
}
