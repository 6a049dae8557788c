package org.apricotstand.entry;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.apricotstand.http.HttpExchange;
import org.apricotstand.http.HttpRequest;

/** Exchange that records the answer it was given. */
final class RecordingExchange implements HttpExchange {

  int status;
  Map<String, String> headers = Map.of();
  String body = "";

  @Override
  public HttpRequest request() {
    return new HttpRequest("POST", "/", "", new DefaultHttpHeaders(), new byte[0], "127.0.0.1");
  }

  @Override
  public void respond(int answered, Map<String, String> answerHeaders, byte[] answerBody) {
    status = answered;
    headers = answerHeaders;
    body = new String(answerBody, StandardCharsets.UTF_8);
  }

  @Override
  public void begin(int answered, Map<String, String> answerHeaders) {
    status = answered;
  }

  @Override
  public void write(byte[] part) {
    body += new String(part, StandardCharsets.UTF_8);
  }

  @Override
  public void end() {}

  @Override
  public void abort() {}

  @Override
  public boolean isWritable() {
    return true;
  }

  @Override
  public void setWritableListener(Runnable listener) {}

  @Override
  public void setCloseListener(Runnable listener) {}
}
