package org.coltsfootvale.protocol;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import org.coltsfootvale.core.model.HostPort;

/** A TCP proxy that can discard the data of its open connections without closing them. */
final class BlackholeProxy implements AutoCloseable {

  private final HostPort target;
  private final AtomicBoolean reading = new AtomicBoolean(true);
  private final ServerSocket listening;
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  private volatile AtomicBoolean blackholed = new AtomicBoolean();

  BlackholeProxy(HostPort target) throws IOException {
    this.target = target;
    listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    start(this::accept);
  }

  HostPort address() {
    return new HostPort(listening.getInetAddress().getHostAddress(), listening.getLocalPort());
  }

  void blackholeOpenConnections() {
    blackholed.set(true);
    blackholed = new AtomicBoolean();
  }

  /** Stops reading from all connections, so that their senders' buffers fill up. */
  void stopReading() {
    reading.set(false);
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
        AtomicBoolean discarding = blackholed;
        start(() -> copy(caller, callee, discarding));
        start(() -> copy(callee, caller, discarding));
      }
    } catch (IOException expected) {
      // The proxy has been closed.
    }
  }

  private void copy(Socket from, Socket to, AtomicBoolean discarding) {
    byte[] buffer = new byte[8192];
    try {
      InputStream in = from.getInputStream();
      for (int length = in.read(buffer); length >= 0; length = in.read(buffer)) {
        while (!reading.get()) {
          LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(10));
        }
        if (!discarding.get()) {
          to.getOutputStream().write(buffer, 0, length);
          to.getOutputStream().flush();
        }
      }
    } catch (IOException expected) {
      // One side has closed the connection.
    }
  }

  private static void start(Runnable work) {
    Thread thread = new Thread(work, "blackhole-proxy");
    thread.setDaemon(true);
    thread.start();
  }
}
