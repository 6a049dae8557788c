package org.apricotstand.entry;

import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.apricotstand.model.Outcome;
import org.apricotstand.owner.AnswerSink;

/**
 * Has a request routed again when it was refused, before anything was run, by an instance that does
 * not own the engine.
 */
final class RerouteSink implements AnswerSink {

  private static final Set<String> NO_OWNER_CODES =
      Set.of("not_owner", "lease_expired", "no_owner", "unknown_peer");

  private final AnswerSink sink;
  private final BooleanSupplier mayReroute;
  private final Runnable reroute;

  RerouteSink(AnswerSink sink, BooleanSupplier mayReroute, Runnable reroute) {
    this.sink = sink;
    this.mayReroute = mayReroute;
    this.reroute = reroute;
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
    sink.end();
  }

  @Override
  public void failed(Outcome outcome) {
    boolean refused =
        outcome instanceof Outcome.NotRun notRun
            && NO_OWNER_CODES.contains(notRun.failure().code());
    if (refused && mayReroute.getAsBoolean()) {
      reroute.run();
    } else {
      sink.failed(outcome);
    }
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
