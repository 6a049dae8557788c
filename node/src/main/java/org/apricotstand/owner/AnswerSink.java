package org.apricotstand.owner;

import java.util.Map;
import org.apricotstand.model.Outcome;

/**
 * Takes the answer to one model request, on traffic threads, one call at a time. Exactly one of
 * {@link #end} and {@link #failed} is called, last.
 */
public interface AnswerSink {

  /** The answer starts; its adapter version was checked. */
  void head(int status, Map<String, String> headers);

  /** A part of the answer. */
  void part(byte[] part);

  /** The answer is whole. */
  void end();

  /** There is no whole answer; the outcome is not {@link Outcome.Answered}. */
  void failed(Outcome outcome);

  /** Returns whether further parts are taken without growing a buffer. */
  boolean isReady();

  /** Sets what runs each time the sink becomes ready again. */
  void onReady(Runnable listener);
}
