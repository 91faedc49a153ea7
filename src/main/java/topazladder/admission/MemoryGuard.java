package topazladder.admission;

import topazladder.request.GiveUpReason;

/**
 * Gives up requests that do not fit into the memory. A request is charged as soon as it is read, so giving it up frees
 * memory.
 */
final class MemoryGuard implements Stage {
    private final MemoryBudget memory;
    private final RequestEndings endings;
    private final Stage next;

    MemoryGuard(MemoryBudget memory, RequestEndings endings, Stage next) {
        this.memory = memory;
        this.endings = endings;
        this.next = next;
    }

    @Override
    public void admit(TrackedRequest request) {
        memory.recordSize(request);
        if (memory.fits(0)) {
            next.admit(request);
        } else {
            endings.giveUp(request, GiveUpReason.OUT_OF_MEMORY);
        }
    }
}
