package org.apricotstand.owner;

import java.util.Map;
import org.apricotstand.model.Outcome;
import org.apricotstand.observe.Tracing;

/** Ends a hop of the trace when the answer ends. */
public final class TracedSink implements AnswerSink {

  private final AnswerSink sink;
  private final Tracing.Hop hop;

  /** Passes an answer to the sink and ends the hop with it. */
  public TracedSink(AnswerSink sink, Tracing.Hop hop) {
    this.sink = sink;
    this.hop = hop;
  }

  @Override
  public void head(int status, Map<String, String> headers) {
    sink.head(status, headers);
  }

  @Override
  public void part(byte[] part) {
    sink.part(part);
  }

  @Override
  public void end() {
    hop.end("answered");
    sink.end();
  }

  @Override
  public void failed(Outcome outcome) {
    switch (outcome) {
      case Outcome.NotRun notRun -> hop.end("not_run");
      case Outcome.OutcomeUnknown unknown -> hop.end("unknown");
      case Outcome.Answered answered -> throw new IllegalArgumentException("not a failure");
    }
    sink.failed(outcome);
  }

  @Override
  public boolean isReady() {
    return sink.isReady();
  }

  @Override
  public void onReady(Runnable listener) {
    sink.onReady(listener);
  }
}
