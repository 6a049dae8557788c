package org.apricotstand.revision;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * The row that names the accepted revision.
 *
 * @param head accepted revision
 * @param history earlier revisions, the latest first
 * @param rowVersion version of the row in the table service
 */
public record HeadRow(Head head, List<Head> history, long rowVersion) {

  // A lost answer is resolved within seconds; more accepted changes than this in that time are
  // reported as an unknown outcome.
  private static final int MAX_HISTORY = 32;

  /** Copies the list. */
  public HeadRow {
    history = List.copyOf(history);
  }

  /** Finds an accepted revision by its number. */
  public Optional<Head> find(long revision) {
    return Stream.concat(Stream.of(head), history.stream())
        .filter(known -> known.revision() == revision)
        .findFirst();
  }

  /** Returns the history of a row that replaces this one. */
  List<Head> historyOfNext() {
    return Stream.concat(Stream.of(head), history.stream()).limit(MAX_HISTORY).toList();
  }
}
