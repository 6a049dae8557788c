package org.apricotstand.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Optional;
import org.apricotstand.control.ControlThread;
import org.apricotstand.declaration.DeclarationSet;
import org.apricotstand.kernel.Service;
import org.apricotstand.model.Result;
import org.apricotstand.observe.EventLog;
import org.apricotstand.platform.PlatformClient;
import org.apricotstand.platform.TableService.Row;

/** Keeps the greatest accepted revision in force. */
public final class ConfigurationService implements Service {

  /** Table and key of the row that names the accepted revision. */
  public static final String HEAD_TABLE = "heads";

  /** Key of the head row. */
  public static final String HEAD_KEY = "head";

  private static final EventLog LOG = EventLog.of(ConfigurationService.class);
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final long POLL_MS = 1_000;
  private static final long CALL_TIMEOUT_MS = 2_000;

  private final ControlThread control;
  private final PlatformClient platform;
  private volatile Revision current = Revision.NONE;

  /** Creates the service. */
  public ConfigurationService(ControlThread control, PlatformClient platform) {
    this.control = control;
    this.platform = platform;
  }

  /** Returns the revision in force. */
  public Revision current() {
    return current;
  }

  @Override
  public void start() {
    poll();
    control.executeEvery(POLL_MS, this::poll);
  }

  private void poll() {
    platform
        .read(HEAD_TABLE, HEAD_KEY, ControlThread.nowMs() + CALL_TIMEOUT_MS)
        .thenAccept(result -> control.execute(() -> headRead(result)));
  }

  private void headRead(Result<Optional<Row>> result) {
    if (result instanceof Result.Ok<Optional<Row>>(Optional<Row> row) && row.isPresent()) {
      JsonNode head = row.get().value();
      long number = head.path("revision").asLong();
      if (number > current.number()) {
        fetch(number, head.path("contentHash").asText());
      }
    }
  }

  private void fetch(long number, String contentHash) {
    platform
        .get(contentHash, ControlThread.nowMs() + CALL_TIMEOUT_MS)
        .thenAccept(result -> control.execute(() -> fetched(number, result)));
  }

  private void fetched(long number, Result<Optional<byte[]>> result) {
    if (number <= current.number()
        || !(result instanceof Result.Ok<Optional<byte[]>>(Optional<byte[]> content))
        || content.isEmpty()) {
      return;
    }
    try {
      current = new Revision(number, JSON.readValue(content.get(), DeclarationSet.class));
      LOG.info("revision_in_force", "revision", number);
    } catch (IOException e) {
      LOG.warn("revision_unreadable", "revision", number, "error", e);
    }
  }
}
