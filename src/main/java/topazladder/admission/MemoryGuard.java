package topazladder.admission;

import topazladder.request.GiveUpReason;

/**
 * Rejects what does not fit into the memory. A request is charged from its reading on, so its rejection frees memory.
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
        memory.read(request);
        if (memory.hasRoomFor(0)) {
            next.admit(request);
        } else {
            endings.giveUp(request, GiveUpReason.OUT_OF_MEMORY);
        }
    }
}
