package org.apricotstand.port;

import java.util.concurrent.CompletableFuture;
import org.apricotstand.dispatch.TargetEntry;
import org.apricotstand.residency.CommandResult;
import org.apricotstand.residency.EngineCommand;
import org.apricotstand.residency.EngineReport;

/** Sends control commands to engines and reads their state. */
public interface EngineControl {

  /**
   * Sends a command. The future completes with {@link CommandResult#UNANSWERED} when the engine
   * does not answer.
   *
   * @param expectedSequence number of commands that the engine must have accepted since its start;
   *     negative for no condition
   * @param owner name of the instance that owns the engine
   * @param fencingNumber fencing token of the ownership; increases with each new owner
   */
  CompletableFuture<CommandResult> send(
      TargetEntry engine,
      EngineCommand command,
      long expectedSequence,
      String owner,
      long fencingNumber);

  /** Reads the state of an engine. The future fails when the engine gives no complete answer. */
  CompletableFuture<EngineReport> report(TargetEntry engine);
}
