package topazladder.service;

import topazladder.config.ExtensionSettings;

/** A part of a service instance that its own settings switch on; all calls come on the one event loop. */
public interface InstanceExtension {

    /** The callers' side listens, and the runtime is not asked for yet. */
    void open();

    /** Settings that were read anew. */
    void reload(ExtensionSettings settings);

    /** The notice to leave: nothing new is begun. */
    default void leave() {}

    /** What it still has to settle; the instance does not stop for nothing before that is none, or the kill is near. */
    default int busy() {
        return 0;
    }

    /** The process ends; told back when it may. */
    void close(Runnable done);
}
