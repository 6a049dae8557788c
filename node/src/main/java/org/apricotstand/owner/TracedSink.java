package org.apricotstand.owner;

import org.apricotstand.model.Outcome;
import org.apricotstand.observe.Tracing;

/** Forwards an answer and ends a hop of the trace with the outcome of the answer. */
public final class TracedSink extends ForwardingSink {

  private final Tracing.Hop hop;

  /** Creates a sink that forwards to the given one and ends the hop. */
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
  public void fail(Outcome outcome) {
    switch (outcome) {
      case Outcome.NotRun notRun -> hop.end("not_run");
      case Outcome.OutcomeUnknown unknown -> hop.end("unknown");
      case Outcome.Answered answered -> throw new IllegalArgumentException("not a failure");
    }
    super.fail(outcome);
  }
}
