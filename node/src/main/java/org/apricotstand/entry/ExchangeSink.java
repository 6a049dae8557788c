package org.apricotstand.entry;

import java.util.LinkedHashMap;
import java.util.Map;
import org.apricotstand.http.HttpExchange;
import org.apricotstand.model.Outcome;
import org.apricotstand.owner.AnswerSink;

/** Passes an answer to the caller; an answer that breaks off aborts the connection. */
final class ExchangeSink implements AnswerSink {

  private final HttpExchange exchange;
  private volatile boolean started;

  ExchangeSink(HttpExchange exchange) {
    this.exchange = exchange;
  }

  @Override
  public void head(int status, Map<String, String> headers) {
    started = true;
    Map<String, String> withOutcome = new LinkedHashMap<>(headers);
    withOutcome.put(ErrorAnswer.OUTCOME_HEADER, "answered");
    exchange.begin(status, withOutcome);
  }

  @Override
  public void part(byte[] part) {
    exchange.write(part);
  }

  @Override
  public void end() {
    exchange.end();
  }

  @Override
  public void failed(Outcome outcome) {
    if (started) {
      exchange.abort();
    } else {
      ErrorAnswer.send(exchange, outcome);
    }
  }

  @Override
  public boolean isReady() {
    return exchange.isWritable();
  }

  @Override
  public void onReady(Runnable listener) {
    exchange.onWritable(listener);
  }
}
