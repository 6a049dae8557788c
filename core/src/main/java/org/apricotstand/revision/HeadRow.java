package org.apricotstand.revision;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * The row of the table service that names the newest accepted revision.
 *
 * @param head newest accepted revision
 * @param history earlier revisions, the newest first
 * @param rowVersion version of the row in the table service
 */
public record HeadRow(AcceptedRevision head, List<AcceptedRevision> history, long rowVersion) {

  // A lost answer is resolved within seconds. If more changes than this are accepted meanwhile, the
  // outcome is reported as unknown.
  private static final int MAX_HISTORY = 32;

  /** Copies the history. */
  public HeadRow {
    history = List.copyOf(history);
  }

  /** Returns the head or the revision of the history with the given number. */
  public Optional<AcceptedRevision> find(long revision) {
    return Stream.concat(Stream.of(head), history.stream())
        .filter(accepted -> accepted.revision() == revision)
        .findFirst();
  }

  /** Returns the history for the row that replaces this one. */
  List<AcceptedRevision> historyForNextRow() {
    return Stream.concat(Stream.of(head), history.stream()).limit(MAX_HISTORY).toList();
  }
}
