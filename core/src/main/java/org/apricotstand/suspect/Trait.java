package org.apricotstand.suspect;

import java.util.Optional;

/**
 * A feature of a request that can be the cause of a crash. Different requests may share it.
 *
 * <p>Instances name traits to each other by the text that {@link #encode} returns.
 */
public sealed interface Trait {

  /** Returns what distinguishes this trait from others of its kind. */
  String id();

  /** The whole request; equal each time that its caller sends it. */
  record WholeRequest(String id) implements Trait {}

  /** A part of the prompt that other prompts have too. */
  record PromptPart(String id) implements Trait {}

  /** The adapter that the request names. */
  record Adapter(String id) implements Trait {}

  /** Returns the text from which {@link #decode} makes an equal trait. */
  default String encode() {
    return switch (this) {
      case WholeRequest request -> "request/" + request.id;
      case PromptPart part -> "prompt/" + part.id;
      case Adapter adapter -> "adapter/" + adapter.id;
    };
  }

  /** Returns the trait with this text; empty if its kind is not known. */
  static Optional<Trait> decode(String text) {
    int separator = text.indexOf('/');
    if (separator < 0) {
      return Optional.empty();
    }
    String id = text.substring(separator + 1);
    return switch (text.substring(0, separator)) {
      case "request" -> Optional.of(new WholeRequest(id));
      case "prompt" -> Optional.of(new PromptPart(id));
      case "adapter" -> Optional.of(new Adapter(id));
      default -> Optional.empty();
    };
  }
}
