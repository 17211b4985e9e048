package io.hornbeamscale.core.reconcile;

/** A command to one engine. Repeating a command has no further effect. */
public sealed interface EngineCommand {
    /**
     * Returns the fencing number under which the command was issued.
     *
     * @return the number
     */
    long fence();

    /**
     * Loads a version of a model, replacing the loaded version.
     *
     * @param fence the fencing number
     * @param model the model
     * @param version the version
     */
    record LoadModel(long fence, String model, String version) implements EngineCommand {}

    /**
     * Loads a version of an adapter, replacing the loaded version.
     *
     * @param fence the fencing number
     * @param adapter the adapter
     * @param version the version
     */
    record LoadAdapter(long fence, String adapter, String version) implements EngineCommand {}

    /**
     * Unloads a model.
     *
     * @param fence the fencing number
     * @param model the model
     */
    record UnloadModel(long fence, String model) implements EngineCommand {}

    /**
     * Unloads an adapter.
     *
     * @param fence the fencing number
     * @param adapter the adapter
     */
    record UnloadAdapter(long fence, String adapter) implements EngineCommand {}

    /**
     * Changes the role of the engine.
     *
     * @param fence the fencing number
     * @param role the role
     */
    record ChangeRole(long fence, String role) implements EngineCommand {}
}
