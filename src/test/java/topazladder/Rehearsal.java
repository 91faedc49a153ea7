package topazladder;

import java.io.IOException;

/** Plays all round the instance of deploy/rehearsal.json for a moment, so that it loads what serving needs. */
final class Rehearsal {
    private Rehearsal() {
    }

    public static void main(String[] args) throws IOException {
        try (Peer runtime = new Peer(47611); Peer index = new Peer(47613)) {
            runtime.accept().hear();
            runtime.say("ready EMPTY 5\r\n");
            try (Stub check = new Stub(47610); Stub one = new Stub(47610); Stub two = new Stub(47610)) {
                check.send(Frames.frame(32, 1, Frames.fields())).hear();
                for (int i = 1, notice = 1; i <= 200; i++) {
                    String ref = String.format("%016x", i);
                    one.send(Frames.ticket(i, ref, "place", "replay", ref));
                    two.send(Frames.ticket(2 * i, String.format("%016x", 1000 + i), "place", "replay", ref, "dup", "1"),
                            Frames.ticket(2 * i + 1, i > 1 ? ref : "odd", "read"), Frames.frame(18, 2 * i + 1));
                    runtime.hear();
                    runtime.hear(4);
                    runtime.say("wants " + notice++ + " " + ref + " 1\r\nx\r\n");
                    index.accept();
                    index.hear();
                    index.hear(1);
                    index.say(ref + " HIT 1\r\ny\r\n");
                    runtime.hear();
                    runtime.hear(1);
                    runtime.say("end " + notice++ + " " + ref + " PASS 5 1\r\nz\r\n");
                    one.hear();
                }
                one.send(Frames.frame(17, 1)).hear();
            }
        }
    }
}
