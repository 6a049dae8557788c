package org.apricotstand.declaration.check;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.apricotstand.declaration.DeclarationSet;
import org.apricotstand.declaration.DeclarationSet.Adapter;
import org.apricotstand.declaration.DeclarationSet.Alias;
import org.apricotstand.declaration.DeclarationSet.Model;
import org.apricotstand.declaration.DeclarationSet.PlainService;
import org.apricotstand.declaration.check.AffectedRequests.Effect;
import org.junit.jupiter.api.Test;

class AffectedRequestsTest {

  private static Adapter adapter(String name, String version) {
    return new Adapter(name, "base", List.of(version), null, null, null, null);
  }

  private static DeclarationSet aliasOf(String adapter) {
    return new DeclarationSet(
        List.of(new Model("base")),
        List.of(adapter("letters", "v1"), adapter("notes", "v2")),
        List.of(new Alias("post", adapter)),
        null,
        null,
        null);
  }

  private static DeclarationSet services(PlainService... services) {
    return new DeclarationSet(null, null, null, List.of(services), null, null);
  }

  private static PlainService service(String name, String path) {
    return new PlainService(name, path, true, null, null);
  }

  // Guards against an alias whose requests move to another adapter unseen.
  @Test
  void movedAliasNamesAdapterAndVersions() {
    assertThat(AffectedRequests.between(aliasOf("letters"), aliasOf("notes")))
        .containsExactly(
            new Effect(
                "model post",
                "adapter \"letters\" of model \"base\"",
                "adapter \"notes\" of model \"base\""),
            new Effect("model post@v1", "declared", "unknown_model"),
            new Effect("model post@v2", "unknown_model", "declared"),
            new Effect("model post without a version", "v1 100.00%", "v2 100.00%"))
        .inOrder();
  }

  // Guards against a longer path that takes requests from a service whose own path stays.
  @Test
  void longerPathTakesRequestsOfShorterOne() {
    assertThat(
            AffectedRequests.between(
                services(service("site", "/")),
                services(service("site", "/"), service("bulk", "/orders/"))))
        .containsExactly(
            new Effect(
                "path /orders", "service \"site\", repeatable", "service \"bulk\", repeatable"));
  }

  // Guards against effects of a change in the order of entries or in the form of a path.
  @Test
  void equalSetsAffectNoRequests() {
    assertThat(
            AffectedRequests.between(
                services(service("a", "/a/"), service("b", "/b")),
                services(service("b", "/b"), service("a", "/a"))))
        .isEmpty();
  }
}
