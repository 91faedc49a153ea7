package topazladder;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks that the deploy file names the files that hold the decision logic, and that they exist. */
class DeployFileTest {
    private static final Path DEPLOY_FILE = Path.of("deploy", "balancer.toml");
    private static final Path ADMISSION_PACKAGE = Path.of("src", "main", "java", "topazladder", "admission");
    private static final Pattern POLICY = Pattern.compile("^policy\\s*=\\s*\\[(.*?)\\]",
            Pattern.MULTILINE | Pattern.DOTALL);
    private static final Pattern QUOTED = Pattern.compile("\"([^\"]+)\"");

    @Test
    void eachPolicyEntryIsAnExistingFileNamedOnce() throws IOException {
        List<Path> policyFiles = policyFiles();
        assertThat(policyFiles).isNotEmpty().doesNotHaveDuplicates();
        assertThat(policyFiles).allSatisfy(file -> assertThat(file).isRegularFile());
    }

    @Test
    void policyNamesEachFileOfTheAdmissionPackage() throws IOException {
        try (Stream<Path> files = Files.list(ADMISSION_PACKAGE)) {
            assertThat(policyFiles()).containsAll(files.toList());
        }
    }

    private static List<Path> policyFiles() throws IOException {
        Matcher policy = POLICY.matcher(Files.readString(DEPLOY_FILE));
        assertThat(policy.find()).as("%s has an entry policy", DEPLOY_FILE).isTrue();
        return QUOTED.matcher(policy.group(1)).results().map(entry -> Path.of(entry.group(1))).toList();
    }
}
