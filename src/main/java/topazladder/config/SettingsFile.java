package topazladder.config;

import com.google.protobuf.TextFormat;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import topazladder.config.OwnSettings.Peer;
import topazladder.config.OwnSettings.Peering;
import topazladder.config.OwnSettings.Secret;
import topazladder.config.ServiceTerms.Address;
import topazladder.config.proto.Settings;
import topazladder.ticket.Learned;

/** Reads and checks a file of own settings, protobuf text format by {@code src/main/proto/settings.proto}. */
public final class SettingsFile {
    private static final int SHORTEST_KEY = 16;
    private static final int LONGEST_KEY = 4096;
    private static final int MOST_PEERS = 1000;

    private SettingsFile() {
    }

    /** Paths inside the file count from the folder that it is in. */
    public static OwnSettings read(Path file) {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            throw new BadTerms("settings: the file can't be read: " + file);
        }
        return of(text, file.toAbsolutePath().getParent());
    }

    public static OwnSettings of(String text, Path folder) {
        Settings s;
        try {
            s = TextFormat.parse(text, Settings.class);
        } catch (TextFormat.ParseException e) {
            throw new BadTerms("settings: line " + e.getLine() + ": " + e.getMessage());
        }
        return new OwnSettings(number("machine.core_speed", s.getMachine().getCoreSpeed(), 0, 1000),
                s.getMachine().getHall(), s.hasPeering() ? peering(s.getPeering(), folder) : null);
    }

    private static Peering peering(topazladder.config.proto.Peering p, Path folder) {
        List<Peer> peers = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (topazladder.config.proto.Peer peer : p.getPeersList()) {
            String at = "peering.peers[" + peers.size() + "].";
            if (peer.getName().isBlank() || peer.getName().length() > 100) {
                throw new BadTerms(at + "name should be a word: '" + peer.getName() + "'");
            }
            if (!names.add(peer.getName())) {
                throw new BadTerms(at + "name stands twice: " + peer.getName());
            }
            peers.add(new Peer(peer.getName(), Address.of(at + "address", peer.getAddress()), peer.getHall()));
        }
        if (peers.size() > MOST_PEERS) {
            throw new BadTerms("peering.peers should be " + MOST_PEERS + " at most: " + peers.size());
        }
        Set<Learned.Kind> leaveOut = EnumSet.noneOf(Learned.Kind.class);
        for (String kind : p.getLeaveOutList()) {
            try {
                leaveOut.add(Learned.Kind.valueOf(kind));
            } catch (IllegalArgumentException e) {
                throw new BadTerms("peering.leave_out should be one of " + Arrays.toString(Learned.Kind.values())
                        + ": " + kind);
            }
        }
        return new Peering(p.getListen().isEmpty() ? null : Address.of("peering.listen", p.getListen()), peers,
                secret("peering.key_file", p.getKeyFile(), folder),
                p.getOtherKeyFile().isEmpty() ? null : secret("peering.other_key_file", p.getOtherKeyFile(), folder),
                number("peering.wait", p.hasWait() ? p.getWait() : 0.5, 0, 60),
                number("peering.hedge_after", p.hasHedgeAfter() ? p.getHedgeAfter() : 0.15, 0.001, 60),
                number("peering.try_for", p.hasTryFor() ? p.getTryFor() : 2, 0.01, 600),
                (int) number("peering.tries", p.hasTries() ? p.getTries() : 6, 1, 1000),
                number("peering.shares_per_second", p.hasSharesPerSecond() ? p.getSharesPerSecond() : 5, 0.01, 10000),
                number("peering.loop_share", p.hasLoopShare() ? p.getLoopShare() : 0.02, 0.0001, 1), leaveOut);
    }

    private static double number(String key, double value, double least, double most) {
        if (value >= least && value <= most) {
            return value;
        }
        throw new BadTerms(key + " should be a number from " + least + " to " + most + ": " + value);
    }

    private static Secret secret(String key, String path, Path folder) {
        if (path.isEmpty()) {
            throw new BadTerms(key + " is missing");
        }
        Path file = folder == null ? Path.of(path) : folder.resolve(path);
        try {
            long size = Files.size(file);
            if (size > LONGEST_KEY) {
                throw new BadTerms(key + " should name a file of at most " + LONGEST_KEY + " bytes: " + path);
            }
            // Editors end a file with a line break, which no operator means as a part of the key.
            byte[] bytes = Files.readAllBytes(file);
            int length = bytes.length;
            while (length > 0 && (bytes[length - 1] == '\n' || bytes[length - 1] == '\r')) {
                length--;
            }
            if (length < SHORTEST_KEY) {
                throw new BadTerms(key + " should name a file of at least " + SHORTEST_KEY + " bytes: " + path);
            }
            return new Secret(Arrays.copyOf(bytes, length));
        } catch (IOException e) {
            throw new BadTerms(key + ": the file can't be read: " + path);
        }
    }
}
