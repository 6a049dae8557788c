package org.apricotstand.entry;

import java.util.LinkedHashMap;
import java.util.Map;
import org.apricotstand.http.HttpExchange;
import org.apricotstand.model.Outcome;
import org.apricotstand.owner.AnswerSink;

/**
 * Sends an answer to the caller. A failure becomes an error answer, or aborts the connection if the
 * head was sent already, so that the caller does not take a truncated answer for a complete one.
 */
final class ExchangeSink implements AnswerSink {

  private final HttpExchange exchange;
  private volatile boolean headSent;

  ExchangeSink(HttpExchange exchange) {
    this.exchange = exchange;
  }

  @Override
  public void writeHead(int status, Map<String, String> headers) {
    headSent = true;
    Map<String, String> withOutcome = new LinkedHashMap<>(headers);
    withOutcome.put(ErrorAnswer.OUTCOME_HEADER, "answered");
    exchange.begin(status, withOutcome);
  }

  @Override
  public void writePart(byte[] part) {
    exchange.write(part);
  }

  @Override
  public void end() {
    exchange.end();
  }

  @Override
  public void fail(Outcome outcome) {
    if (headSent) {
      exchange.abort();
    } else {
      ErrorAnswer.send(exchange, outcome);
    }
  }

  @Override
  public boolean isWritable() {
    return exchange.isWritable();
  }

  @Override
  public void setWritableListener(Runnable listener) {
    exchange.setWritableListener(listener);
  }
}
