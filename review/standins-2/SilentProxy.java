import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Passes connections on. Those that are open when it is told so go silent for good, without a
 * reset, while new ones work.
 */
final class SilentProxy implements AutoCloseable {
  private final ServerSocket listener = new ServerSocket();
  private final InetSocketAddress target;
  private final AtomicInteger generation = new AtomicInteger();

  SilentProxy(String ip, InetSocketAddress target) throws IOException {
    this.target = target;
    listener.bind(new InetSocketAddress(ip, 0), 256);
    Thread.ofVirtual().start(this::accept);
  }

  InetSocketAddress address() {
    return (InetSocketAddress) listener.getLocalSocketAddress();
  }

  /** Passes nothing more on, in either direction, on the connections that are open now. */
  void silence() {
    generation.incrementAndGet();
  }

  private void accept() {
    while (true) {
      try {
        Socket caller = listener.accept();
        caller.setTcpNoDelay(true);
        Socket server = new Socket();
        server.connect(target);
        server.setTcpNoDelay(true);
        int opened = generation.get();
        Thread.ofVirtual().start(() -> pass(caller, server, opened));
        Thread.ofVirtual().start(() -> pass(server, caller, opened));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void pass(Socket from, Socket to, int opened) {
    byte[] buffer = new byte[65_536];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        if (generation.get() == opened) {
          out.write(buffer, 0, count);
        }
      }
      if (generation.get() == opened) {
        to.close();
      }
    } catch (IOException e) {
      closeBoth(from, to, opened);
    }
  }

  private void closeBoth(Socket from, Socket to, int opened) {
    try {
      from.close();
      if (generation.get() == opened) {
        to.close();
      }
    } catch (IOException e) {
      // Both sides are closed already.
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
