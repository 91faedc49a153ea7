package topazladder.admission;

import topazladder.request.GiveUpReason;

/**
 * Gives up requests that do not fit into the memory. A request is charged as soon as it is read, so giving it up frees
 * memory.
 */
final class MemoryGuard implements Stage {
    private final MemoryBudget memory;
    private final RequestTerminator terminator;
    private final Stage next;

    MemoryGuard(MemoryBudget memory, RequestTerminator terminator, Stage next) {
        this.memory = memory;
        this.terminator = terminator;
        this.next = next;
    }

    @Override
    public void admit(TrackedRequest request) {
        memory.recordSize(request);
        if (memory.fits(0)) {
            next.admit(request);
        } else {
            terminator.giveUp(request, GiveUpReason.OUT_OF_MEMORY);
        }
    }
}
