package org.apricotstand.request;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.apricotstand.front.CallerRequest;
import org.apricotstand.residency.AdapterKey;
import org.apricotstand.suspect.Fingerprint;
import org.apricotstand.suspect.PromptParts;
import org.apricotstand.suspect.Trait;

/** The traits of one request, of which each may turn out to crash targets. */
final class RequestTraits {

  private final CallerRequest request;
  private final List<Trait> shared;
  private Trait wholeRequest;

  /**
   * Creates the traits of a request.
   *
   * @param adapter adapter that the request names; null for a plain service
   * @param promptParts parts of the prompt as the request declares them; null if it declares none
   */
  RequestTraits(CallerRequest request, AdapterKey adapter, String promptParts) {
    this.request = request;
    this.shared = new ArrayList<>();
    if (adapter != null) {
      shared.add(new Trait.Adapter(adapter.toString()));
    }
    PromptParts.shared(promptParts).forEach(part -> shared.add(new Trait.PromptPart(part)));
  }

  /** Returns the traits that other requests may have too; those that most requests have first. */
  List<Trait> shared() {
    return shared;
  }

  /**
   * Returns the trait of the request as a whole, which is the same each time that its caller sends
   * it, whatever request id it has.
   */
  Trait wholeRequest() {
    if (wholeRequest == null) {
      List<String> parts = List.of(request.caller(), request.method().name(), request.uri());
      wholeRequest = new Trait.WholeRequest(Fingerprint.of(parts, request.body()));
    }
    return wholeRequest;
  }

  /** Returns all traits, those that most requests have first. */
  Stream<Trait> all() {
    return Stream.concat(shared.stream(), Stream.of(wholeRequest()));
  }
}
