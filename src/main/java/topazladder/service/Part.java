package topazladder.service;

import topazladder.config.OwnSettings;

/** A part of a service instance that its own settings switch on; all calls come on the one event loop. */
public interface Part {

    /** The callers' side listens, and the runtime is not asked for yet. */
    void open();

    /** Settings that were read anew. */
    void reload(OwnSettings settings);

    /** The process ends. */
    void close();
}
