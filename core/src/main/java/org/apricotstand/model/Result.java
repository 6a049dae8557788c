package org.apricotstand.model;

import java.util.function.Function;

/**
 * Result of an operation that can fail in an expected way.
 *
 * <pre>{@code
 * switch (result) {
 *   case Result.Ok<Row>(Row row) -> use(row);
 *   case Result.Failed<Row>(Failure failure) -> report(failure);
 * }
 * }</pre>
 */
public sealed interface Result<T> {

  /** The operation succeeded. */
  record Ok<T>(T value) implements Result<T> {}

  /** The operation failed. */
  record Failed<T>(Failure failure) implements Result<T> {}

  /** Returns a successful result. */
  static <T> Result<T> ok(T value) {
    return new Ok<>(value);
  }

  /** Returns a failed result. */
  static <T> Result<T> failed(Failure failure) {
    return new Failed<>(failure);
  }

  /** Returns this result with its value converted; a failure is passed on unchanged. */
  default <R> Result<R> map(Function<? super T, ? extends R> conversion) {
    return switch (this) {
      case Ok<T>(T value) -> ok(conversion.apply(value));
      case Failed<T>(Failure failure) -> failed(failure);
    };
  }
}
