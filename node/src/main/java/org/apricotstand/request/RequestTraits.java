package org.apricotstand.request;

import io.netty.handler.codec.http.HttpHeaderNames;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.apricotstand.front.CallerRequest;
import org.apricotstand.residency.AdapterKey;
import org.apricotstand.route.RoutingPlan;
import org.apricotstand.suspect.Fingerprint;
import org.apricotstand.suspect.PromptParts;
import org.apricotstand.suspect.Trait;

/** The traits of one request, of which each may turn out to crash targets. */
final class RequestTraits {

  private final CallerRequest request;
  private final String adapter;
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
    this.adapter = adapter == null ? "" : adapter.toString();
    this.shared = new ArrayList<>();
    if (adapter != null) {
      shared.add(new Trait.Adapter(this.adapter));
    }
    PromptParts.shared(promptParts).forEach(part -> shared.add(new Trait.PromptPart(part)));
  }

  /** Returns the traits that other requests may have too; those that most requests have first. */
  List<Trait> shared() {
    return shared;
  }

  /**
   * Returns the trait of the request as a whole, which is the same each time that it is sent,
   * whatever request id it has. It leaves out the address of the caller, because a caller may have
   * another one each time and the target does not see it.
   */
  Trait wholeRequest() {
    if (wholeRequest == null) {
      String host = RoutingPlan.normalizeHost(request.headers().get(HttpHeaderNames.HOST, ""));
      List<String> parts = List.of(host, request.method().name(), request.uri(), adapter);
      wholeRequest = new Trait.WholeRequest(Fingerprint.of(parts, request.body()));
    }
    return wholeRequest;
  }

  /** Returns all traits, those that most requests have first. */
  Stream<Trait> all() {
    return Stream.concat(shared.stream(), Stream.of(wholeRequest()));
  }
}
