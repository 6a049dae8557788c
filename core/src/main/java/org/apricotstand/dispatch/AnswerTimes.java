package org.apricotstand.dispatch;

/**
 * Number and sum of the times in which a target answered, without what its load explains.
 *
 * @param count number of answers
 * @param totalMs sum of their times
 */
public record AnswerTimes(long count, long totalMs) {

  /** Returns the sum of two. */
  public AnswerTimes plus(AnswerTimes other) {
    return new AnswerTimes(count + other.count, totalMs + other.totalMs);
  }
}
