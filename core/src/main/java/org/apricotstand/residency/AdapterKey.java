package org.apricotstand.residency;

/**
 * Names an adapter of a model; an empty adapter means the model itself.
 *
 * @param model name of the model
 * @param adapter name of the adapter, or an empty text
 */
public record AdapterKey(String model, String adapter) {

  /** Parses {@code MODEL} or {@code MODEL/ADAPTER}. */
  public static AdapterKey parse(String text) {
    int slash = text.indexOf('/');
    return slash < 0
        ? new AdapterKey(text, "")
        : new AdapterKey(text.substring(0, slash), text.substring(slash + 1));
  }

  /** Returns whether this is the model itself. */
  public boolean isModel() {
    return adapter.isEmpty();
  }

  /** Returns the key of the model. */
  public AdapterKey modelKey() {
    return new AdapterKey(model, "");
  }

  @Override
  public String toString() {
    return isModel() ? model : model + "/" + adapter;
  }
}
