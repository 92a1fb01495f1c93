import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A path to the store that can be cut: during a cut it passes no byte on, in both directions. */
final class Proxy implements AutoCloseable {

  private final ServerSocket server = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
  private final int target;
  private boolean cut;

  Proxy(int target) throws IOException {
    this.target = target;
    Daemons.start(this::accept);
  }

  int port() {
    return server.getLocalPort();
  }

  synchronized void cut(boolean on) {
    cut = on;
    notifyAll();
  }

  private synchronized void awaitPath() throws InterruptedException {
    while (cut) {
      wait();
    }
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket near = server.accept();
        Daemons.start(() -> connect(near));
      } catch (IOException closed) {
        return;
      }
    }
  }

  private void connect(Socket near) {
    try {
      awaitPath();
      Socket far = new Socket(InetAddress.getLoopbackAddress(), target);
      near.setTcpNoDelay(true);
      far.setTcpNoDelay(true);
      Daemons.start(() -> copy(near, far));
      copy(far, near);
    } catch (IOException | InterruptedException e) {
      close(near);
    }
  }

  private void copy(Socket from, Socket to) {
    byte[] buffer = new byte[16 * 1024];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      int read = in.read(buffer);
      while (read >= 0) {
        awaitPath();
        out.write(buffer, 0, read);
        out.flush();
        read = in.read(buffer);
      }
      awaitPath();
    } catch (IOException | InterruptedException e) {
      // The connection has ended.
    } finally {
      close(from);
      close(to);
    }
  }

  private static void close(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // Nothing more can be done.
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
