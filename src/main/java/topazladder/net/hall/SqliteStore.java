package topazladder.net.hall;

import com.google.protobuf.InvalidProtocolBufferException;
import io.microraft.RaftEndpoint;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.sqlite.util.OSInfo;
import topazladder.consensus.PersistedRaftState;
import topazladder.consensus.VoterEndpoint;
import topazladder.consensus.VoterStore;
import topazladder.hall.proto.ChunkMessage;
import topazladder.hall.proto.EntryMessage;
import topazladder.hall.proto.MembersView;
import topazladder.net.codec.GroupMessages;
import topazladder.net.codec.MalformedMessageException;

/**
 * A voter's folder, as one SQLite database: a transaction is open from flush to flush, and a flush returns once it is
 * on the disk. A second process on the same folder is refused. All calls block, and come on the group's own thread.
 */
public final class SqliteStore implements VoterStore {
    private static final Logger LOG = LoggerFactory.getLogger(SqliteStore.class);
    private static final String FILE = "voter.db";
    private static final int VERSION = 1;
    private static final RaftModelFactory MODEL = new DefaultRaftModelFactory();

    static {
        // From its own jar the library would be written into the folder for temporary files at each start: a full disk
        // refuses that, and a process that is killed leaves it behind.
        try {
            Path jar = Path.of(OSInfo.class.getProtectionDomain().getCodeSource().getLocation().toURI());
            Path beside = jar.resolveSibling("org/sqlite/native").resolve(OSInfo.getNativeLibFolderPathForCurrentOS());
            if (Files.isDirectory(beside)) {
                System.setProperty("org.sqlite.lib.path", beside.toString());
            }
        } catch (URISyntaxException | RuntimeException e) {
            LOG.debug("the store's library is not beside its jar", e);
        }
    }

    private final Connection db;

    /** @throws IOException where the folder can't be written, is another process's, or is of a newer version */
    public SqliteStore(Path folder) throws IOException {
        try {
            Files.createDirectories(folder);
            db = DriverManager.getConnection("jdbc:sqlite:" + folder.resolve(FILE).toAbsolutePath());
        } catch (SQLException e) {
            throw new IOException("the voter's folder can't be opened: " + e.getMessage(), e);
        }
        try (Statement s = db.createStatement()) {
            // Exclusive: held from the first write to the end of the process, also by one that was killed and is not
            // gone yet.
            s.execute("pragma busy_timeout = 0");
            s.execute("pragma locking_mode = exclusive");
            s.execute("pragma journal_mode = wal");
            s.execute("pragma synchronous = full");
            s.execute("pragma cache_size = -256");
            try (ResultSet v = s.executeQuery("pragma user_version")) {
                if (v.next() && v.getInt(1) > VERSION) {
                    throw new IOException("the voter's folder was written by a newer version");
                }
            }
            s.execute("begin immediate");
            s.execute("create table if not exists word (name text primary key, value blob) without rowid");
            s.execute("create table if not exists entry (at integer primary key, value blob)");
            s.execute("create table if not exists chunk (at integer, number integer, value blob,"
                    + " primary key (at, number)) without rowid");
            s.execute("pragma user_version = " + VERSION);
            s.execute("commit");
            s.execute("begin immediate");
        } catch (SQLException e) {
            close();
            throw new IOException("the voter's folder is another process's, or is damaged: " + e.getMessage(), e);
        } catch (IOException e) {
            close();
            throw e;
        }
    }

    private interface Sql<T> {
        T run() throws SQLException, MalformedMessageException, InvalidProtocolBufferException;
    }

    private <T> T sql(Sql<T> what) throws IOException {
        try {
            return what.run();
        } catch (SQLException | MalformedMessageException | InvalidProtocolBufferException e) {
            throw new IOException("the voter's store: " + e.getMessage(), e);
        }
    }

    private void run(String sql, Object... values) throws IOException {
        sql(() -> {
            try (PreparedStatement s = db.prepareStatement(sql)) {
                for (int i = 0; i < values.length; i++) {
                    if (values[i]instanceof byte[] bytes) {
                        s.setBytes(i + 1, bytes);
                    } else if (values[i]instanceof Number n) {
                        s.setLong(i + 1, n.longValue());
                    } else {
                        s.setString(i + 1, (String) values[i]);
                    }
                }
                return s.executeUpdate();
            }
        });
    }

    private List<byte[]> all(String sql, Object... values) throws IOException {
        return sql(() -> {
            try (PreparedStatement s = db.prepareStatement(sql)) {
                for (int i = 0; i < values.length; i++) {
                    s.setString(i + 1, (String) values[i]);
                }
                List<byte[]> rows = new ArrayList<>();
                try (ResultSet r = s.executeQuery()) {
                    while (r.next()) {
                        rows.add(r.getBytes(1));
                    }
                }
                return rows;
            }
        });
    }

    private void word(String name, byte[] value) throws IOException {
        run("insert or replace into word values (?, ?)", name, value);
    }

    private byte[] word(String name) throws IOException {
        List<byte[]> rows = all("select value from word where name = ?", name);
        return rows.isEmpty() ? null : rows.get(0);
    }

    @Override
    public void flush() throws IOException {
        sql(() -> {
            try (Statement s = db.createStatement()) {
                s.execute("commit");
                return s.execute("begin immediate");
            }
        });
    }

    private void rollBack() throws IOException {
        sql(() -> {
            try (Statement s = db.createStatement()) {
                try {
                    s.execute("rollback");
                } catch (SQLException e) {
                    // A disk that was full has ended the transaction by itself.
                }
                return s.execute("begin immediate");
            }
        });
    }

    // ---- as whom it votes

    @Override
    public Founding founding() {
        try {
            byte[] here = word("here");
            if (here == null) {
                return null;
            }
            MembersView first = MembersView.parseFrom(word("first"));
            List<VoterEndpoint> all = first.getMembersList().stream().map(VoterEndpoint::of).toList();
            return new Founding(VoterEndpoint.of(new String(here, java.nio.charset.StandardCharsets.UTF_8)), all,
                    first.getLogIndex());
        } catch (IOException e) {
            throw new IllegalStateException("the voter's store can't be read", e);
        }
    }

    @Override
    public void found(Founding f) throws IOException {
        rollBack();
        run("delete from word");
        run("delete from entry");
        run("delete from chunk");
        word("here", f.here().toString().getBytes(java.nio.charset.StandardCharsets.UTF_8));
        word("first", MembersView.newBuilder().setLogIndex(f.formed())
                .addAllMembers(f.first().stream().map(VoterEndpoint::toString).toList()).build().toByteArray());
        flush();
    }

    // ---- what the library keeps

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState endpoint) throws IOException {
        word("endpoint", MembersView.newBuilder().setLogIndex(endpoint.isVoting() ? 1 : 0)
                .addMembers(endpoint.getLocalEndpoint().getId().toString()).build().toByteArray());
        flush();
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView members) throws IOException {
        word("members", GroupMessages.view(members).toByteArray());
        flush();
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState term) throws IOException {
        MembersView.Builder b = MembersView.newBuilder().setLogIndex(term.getTerm());
        if (term.getVotedFor() != null) {
            b.addMembers(term.getVotedFor().getId().toString());
        }
        word("term", b.build().toByteArray());
        flush();
    }

    @Override
    public void persistLogEntries(List<LogEntry> entries) throws IOException {
        for (LogEntry e : entries) {
            run("insert or replace into entry values (?, ?)", e.getIndex(), GroupMessages.entry(e).toByteArray());
        }
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
        run("insert or replace into chunk values (?, ?, ?)", chunk.getIndex(), chunk.getSnapshotChunkIndex(),
                GroupMessages.chunk(chunk).toByteArray());
    }

    @Override
    public void truncateLogEntriesFrom(long index) throws IOException {
        run("delete from entry where at >= ?", index);
    }

    @Override
    public void truncateLogEntriesUntil(long index) throws IOException {
        run("delete from entry where at <= ?", index);
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) throws IOException {
        run("delete from chunk where at = ?", index);
    }

    @Override
    public RestoredRaftState restored() {
        try {
            rollBack();
            PersistedRaftState kept = new PersistedRaftState();
            byte[] endpoint = word("endpoint");
            byte[] members = word("members");
            byte[] term = word("term");
            return sql(() -> {
                if (endpoint != null) {
                    MembersView e = MembersView.parseFrom(endpoint);
                    kept.endpoint(VoterEndpoint.of(e.getMembers(0)), e.getLogIndex() == 1);
                }
                if (members != null) {
                    kept.members(GroupMessages.view(MembersView.parseFrom(members)));
                }
                if (term != null) {
                    MembersView t = MembersView.parseFrom(term);
                    RaftEndpoint voted = t.getMembersCount() == 0 ? null : VoterEndpoint.of(t.getMembers(0));
                    kept.term(MODEL.createRaftTermPersistentStateBuilder().setTerm((int) t.getLogIndex())
                            .setVotedFor(voted).build());
                }
                try {
                    for (byte[] e : all("select value from entry order by at")) {
                        kept.entry(GroupMessages.entry(EntryMessage.parseFrom(e)));
                    }
                    for (byte[] c : all("select value from chunk order by at, number")) {
                        kept.chunk(GroupMessages.chunk(ChunkMessage.parseFrom(c)));
                    }
                } catch (IOException e) {
                    throw new SQLException(e);
                }
                return kept.restored();
            });
        } catch (IOException e) {
            throw new IllegalStateException("the voter's store can't be read", e);
        }
    }

    @Override
    public void close() {
        try {
            db.close();
        } catch (SQLException e) {
            // What was flushed is on the disk, and nothing else was promised.
        }
    }
}
