package org.apricotstand.owner;

import org.apricotstand.model.Outcome;
import org.apricotstand.observe.Tracing;

/** Ends a hop of the trace when the answer ends. */
public final class TracedSink extends ForwardingSink {

  private final Tracing.Hop hop;

  /** Passes an answer to the sink and ends the hop with it. */
  public TracedSink(AnswerSink sink, Tracing.Hop hop) {
    super(sink);
    this.hop = hop;
  }

  @Override
  public void end() {
    hop.end("answered");
    super.end();
  }

  @Override
  public void failed(Outcome outcome) {
    switch (outcome) {
      case Outcome.NotRun notRun -> hop.end("not_run");
      case Outcome.OutcomeUnknown unknown -> hop.end("unknown");
      case Outcome.Answered answered -> throw new IllegalArgumentException("not a failure");
    }
    super.failed(outcome);
  }
}
