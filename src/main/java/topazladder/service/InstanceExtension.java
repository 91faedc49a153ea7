package topazladder.service;

import topazladder.config.ExtensionSettings;

/** A part of a service instance that its own settings switch on. All calls come on the one event loop. */
public interface InstanceExtension {

    /** Starts the part: the callers' side listens, and the runtime is not connected yet. */
    void open();

    /** Applies settings that were read anew. */
    void reload(ExtensionSettings settings);

    /** The instance shuts down: the part begins nothing new. */
    default void startShutdown() {}

    /** Pieces of work still to settle; the instance does not stop before there are none or its kill is near. */
    default int pendingWork() {
        return 0;
    }

    /** Closes the part as the process ends; calls back when it may. */
    void close(Runnable onClosed);
}
