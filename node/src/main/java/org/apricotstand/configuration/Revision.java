package org.apricotstand.configuration;

import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.apricotstand.declaration.DeclarationSet;
import org.apricotstand.declaration.DeclarationSet.Adapter;
import org.apricotstand.declaration.DeclarationSet.PlainService;
import org.apricotstand.declaration.DeclarationSet.Target;
import org.apricotstand.declaration.ServicePaths;
import org.apricotstand.model.TargetId;

/** An accepted set of declarations with its revision number and indexes by name. Immutable. */
public final class Revision {

  /** Placeholder before there is a revision: number 0, without declarations. */
  public static final Revision NONE = new Revision(0, DeclarationSet.empty());

  private final long number;
  private final DeclarationSet declarations;
  private final Map<String, Adapter> adapters;
  private final Map<String, String> aliases;
  private final Map<String, Target> targets;
  private final ServicePaths services;

  /** Creates a revision and its indexes. */
  public Revision(long number, DeclarationSet declarations) {
    this.number = number;
    this.declarations = declarations;
    this.adapters =
        declarations.adapters().stream()
            .collect(Collectors.toUnmodifiableMap(Adapter::name, Function.identity()));
    this.aliases =
        declarations.aliases().stream()
            .collect(
                Collectors.toUnmodifiableMap(
                    DeclarationSet.Alias::name, DeclarationSet.Alias::adapter));
    this.targets =
        declarations.targets().stream()
            .collect(Collectors.toUnmodifiableMap(Target::name, Function.identity()));
    this.services = new ServicePaths(declarations.services());
  }

  /** Returns the number; an instance only activates greater numbers than the active one. */
  public long number() {
    return number;
  }

  /** Returns the declarations. */
  public DeclarationSet declarations() {
    return declarations;
  }

  /** Returns the adapter with the given name or alias. */
  public Optional<Adapter> adapter(String nameOrAlias) {
    return Optional.ofNullable(adapters.get(aliases.getOrDefault(nameOrAlias, nameOrAlias)));
  }

  /** Returns the target with the given identifier. */
  public Optional<Target> target(TargetId id) {
    return Optional.ofNullable(targets.get(id.value()));
  }

  /** Returns the plain service for a request path; the longest prefix of whole segments wins. */
  public Optional<PlainService> service(String path) {
    return services.find(path);
  }
}
