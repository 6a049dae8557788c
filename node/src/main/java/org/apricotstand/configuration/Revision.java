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

/** An accepted set of declarations with its number and indexes by name. Immutable. */
public final class Revision {

  /** Stands for "no revision yet". */
  public static final Revision NONE = new Revision(0, DeclarationSet.empty());

  private final long number;
  private final DeclarationSet declarations;
  private final Map<String, Adapter> adapters;
  private final Map<String, String> aliases;
  private final Map<String, Target> targets;
  private final ServicePaths services;

  /** Creates a revision. */
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

  /** Returns the number; only greater numbers come into force. */
  public long number() {
    return number;
  }

  /** Returns the declarations. */
  public DeclarationSet declarations() {
    return declarations;
  }

  /** Finds an adapter by its name or an alias. */
  public Optional<Adapter> adapter(String nameOrAlias) {
    return Optional.ofNullable(adapters.get(aliases.getOrDefault(nameOrAlias, nameOrAlias)));
  }

  /** Finds a target. */
  public Optional<Target> target(TargetId id) {
    return Optional.ofNullable(targets.get(id.value()));
  }

  /** Finds the plain service of a caller's path; the longest prefix of whole segments wins. */
  public Optional<PlainService> service(String path) {
    return services.find(path);
  }
}
