package topazladder.net.cluster;

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

/**
 * A voter's SQLite database, which one process at a time may open. Invariant: a transaction is open between any two
 * calls. It ends with {@link #commit}, which returns once the data is on the disk, or with {@link #rollBack}.
 */
final class SqliteTransactions implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(SqliteTransactions.class);
    private static final int SCHEMA_VERSION = 1;
    private static final String BEGIN = "begin immediate";
    private static final String COMMIT = "commit";

    /**
     * Exclusive locking holds the lock from the first write to the end of the process, which includes a process that
     * was killed and has not ended yet.
     */
    private static final List<String> PRAGMAS = List.of(
            "pragma busy_timeout = 0",
            "pragma locking_mode = exclusive",
            "pragma journal_mode = wal",
            "pragma synchronous = full",
            "pragma cache_size = -256");
    private static final List<String> CREATE_SCHEMA = List.of(
            BEGIN,
            "create table if not exists word (name text primary key, value blob) without rowid",
            "create table if not exists entry (at integer primary key, value blob)",
            "create table if not exists chunk (at integer, number integer, value blob, primary key (at, number))"
                    + " without rowid",
            "pragma user_version = " + SCHEMA_VERSION,
            COMMIT,
            BEGIN);

    static {
        // By default the driver extracts its native library from the jar into the folder for temporary files at each
        // start. That fails on a full disk, and a process that is killed leaves the file behind.
        try {
            Path jar = Path.of(OSInfo.class.getProtectionDomain().getCodeSource().getLocation().toURI());
            Path libraryFolder =
                    jar.resolveSibling("org/sqlite/native").resolve(OSInfo.getNativeLibFolderPathForCurrentOS());
            if (Files.isDirectory(libraryFolder)) {
                System.setProperty("org.sqlite.lib.path", libraryFolder.toString());
            }
        } catch (URISyntaxException | RuntimeException e) {
            LOG.debug("sqlite native library not found next to its jar", e);
        }
    }

    private final Connection connection;

    /**
     * Opens a database; creates the folder and the database where there are none.
     *
     * @throws IOException where the folder can't be written, is in use by another process, or was written by a newer
     *     version
     */
    SqliteTransactions(Path folder, String fileName) throws IOException {
        try {
            Files.createDirectories(folder);
            connection = DriverManager.getConnection("jdbc:sqlite:" + folder.resolve(fileName).toAbsolutePath());
        } catch (SQLException e) {
            throw new IOException("the voter store in " + folder + " can't be opened: " + e.getMessage(), e);
        }
        try {
            prepare(folder);
        } catch (SQLException e) {
            close();
            throw new IOException("the voter store in " + folder
                    + " is in use by another process, or is damaged: " + e.getMessage(), e);
        } catch (IOException e) {
            close();
            throw e;
        }
    }

    private void prepare(Path folder) throws SQLException, IOException {
        try (Statement statement = connection.createStatement()) {
            for (String pragma : PRAGMAS) {
                statement.execute(pragma);
            }
            try (ResultSet version = statement.executeQuery("pragma user_version")) {
                if (version.next() && version.getInt(1) > SCHEMA_VERSION) {
                    throw new IOException("the voter store in " + folder + " has schema version "
                            + version.getInt(1) + "; this program reads up to " + SCHEMA_VERSION);
                }
            }
            for (String sql : CREATE_SCHEMA) {
                statement.execute(sql);
            }
        }
    }

    private interface SqlCall<T> {
        T run() throws SQLException;
    }

    private static <T> T call(SqlCall<T> call) throws IOException {
        try {
            return call.run();
        } catch (SQLException e) {
            throw new IOException("the voter store failed: " + e.getMessage(), e);
        }
    }

    /** Runs one statement with these values, each of which is a string, an integer or bytes. */
    void update(String sql, Object... values) throws IOException {
        call(() -> {
            try (PreparedStatement statement = prepared(sql, values)) {
                return statement.executeUpdate();
            }
        });
    }

    /** Returns the first column of each row. */
    List<byte[]> select(String sql, Object... values) throws IOException {
        return call(() -> {
            try (PreparedStatement statement = prepared(sql, values); ResultSet rows = statement.executeQuery()) {
                List<byte[]> column = new ArrayList<>();
                while (rows.next()) {
                    column.add(rows.getBytes(1));
                }
                return column;
            }
        });
    }

    private PreparedStatement prepared(String sql, Object... values) throws SQLException {
        PreparedStatement statement = connection.prepareStatement(sql);
        for (int i = 0; i < values.length; i++) {
            if (values[i]instanceof byte[] bytes) {
                statement.setBytes(i + 1, bytes);
            } else if (values[i]instanceof Number number) {
                statement.setLong(i + 1, number.longValue());
            } else {
                statement.setString(i + 1, (String) values[i]);
            }
        }
        return statement;
    }

    void commit() throws IOException {
        call(() -> {
            try (Statement statement = connection.createStatement()) {
                statement.execute(COMMIT);
                return statement.execute(BEGIN);
            }
        });
    }

    void rollBack() throws IOException {
        call(() -> {
            try (Statement statement = connection.createStatement()) {
                try {
                    statement.execute("rollback");
                } catch (SQLException e) {
                    // SQLite rolls back by itself on some errors, such as a full disk; no transaction is open then.
                }
                return statement.execute(BEGIN);
            }
        });
    }

    @Override
    public void close() {
        try {
            connection.close();
        } catch (SQLException e) {
            // What was committed is on the disk, and nothing else may be relied on.
        }
    }
}
