package org.apricotstand.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Plain socket that sends and receives HTTP as text, so that a test controls each byte. */
final class RawConnection implements AutoCloseable {

  private static final int READ_TIMEOUT_MS = 20_000;

  private final Socket socket;

  RawConnection(InetSocketAddress address) throws IOException {
    socket = new Socket(address.getAddress(), address.getPort());
    socket.setSoTimeout(READ_TIMEOUT_MS);
  }

  /** Connects with a small buffer for what is received, so that answers wait at their sender. */
  RawConnection(InetSocketAddress address, int receiveBufferBytes) throws IOException {
    socket = new Socket();
    socket.setReceiveBufferSize(receiveBufferBytes);
    socket.setSoTimeout(READ_TIMEOUT_MS);
    socket.connect(address);
  }

  RawConnection send(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
    return this;
  }

  RawConnection closeSendingSide() throws IOException {
    socket.shutdownOutput();
    return this;
  }

  /** Closes the connection with a reset. */
  void reset() throws IOException {
    socket.setSoLinger(true, 0);
    socket.close();
  }

  /** Reads until the received text ends with the given one or the other side closes. */
  String readUntil(String end) throws IOException {
    ByteArrayOutputStream received = new ByteArrayOutputStream();
    InputStream input = socket.getInputStream();
    int next = input.read();
    while (next >= 0) {
      received.write(next);
      String text = received.toString(StandardCharsets.ISO_8859_1);
      if (!end.isEmpty() && text.endsWith(end)) {
        return text;
      }
      next = input.read();
    }
    return received.toString(StandardCharsets.ISO_8859_1);
  }

  /** Reads until the other side closes. */
  String readAll() throws IOException {
    return readUntil("");
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
