package org.apricotstand.port;

import java.util.concurrent.CompletableFuture;
import org.apricotstand.dispatch.TargetEntry;
import org.apricotstand.residency.CommandResult;
import org.apricotstand.residency.EngineCommand;
import org.apricotstand.residency.EngineReport;

/** Control interface of the engines. */
public interface EngineControl {

  /**
   * Sends a command; the result is {@link CommandResult#UNANSWERED} when no answer came.
   *
   * @param expectedSequence sequence that the engine must have
   * @param holder name of the instance that owns the engine
   * @param fencingNumber fencing number of the ownership
   */
  CompletableFuture<CommandResult> send(
      TargetEntry engine,
      EngineCommand command,
      long expectedSequence,
      String holder,
      long fencingNumber);

  /** Asks an engine for its state; fails when there is no whole answer. */
  CompletableFuture<EngineReport> report(TargetEntry engine);
}
