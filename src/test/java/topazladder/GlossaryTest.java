package topazladder;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Holds the names declared in finished packages to docs/glossary.md. */
class GlossaryTest {
    private static final Path GLOSSARY = Path.of("docs", "glossary.md");
    private static final Pattern QUOTED = Pattern.compile("`([^`]+)`");
    /** Block comments, line comments, text blocks, strings and characters: none of them declares a name. */
    private static final Pattern NOT_CODE =
            Pattern.compile("/\\*.*?\\*/|//[^\\n]*|\"\"\".*?\"\"\"|\"(?:\\\\.|[^\"\\\\])*\""
                    + "|'(?:\\\\.|[^'\\\\])*'", Pattern.DOTALL);
    /** A type, its end or `var`, and a name after it. */
    private static final Pattern DECLARED = Pattern.compile("([\\w>\\]?]+)\\s+([A-Za-z]\\w*)\\s*(?=[=;,):({<]|->)");
    private static final Pattern NO_TYPE = Pattern.compile(
            "return|new|throw|else|case|import|package|instanceof|extends|implements|throws|assert|yield|static");
    private static final int LEAST_OLD_TERMS = 20;

    @Test
    void noNameDeclaredInAFinishedPackageHoldsAnOldTerm() throws IOException {
        List<String> oldTerms = oldTerms();
        assertThat(oldTerms).hasSizeGreaterThan(LEAST_OLD_TERMS);
        List<String> found = new ArrayList<>();
        for (Path source : finishedSources()) {
            for (String name : declaredNames(Files.readString(source))) {
                oldTerms.stream().filter(term -> holds(name, term))
                        .forEach(term -> found.add(source + ": " + name + " holds the old term " + term));
            }
        }
        assertThat(found).isEmpty();
    }

    @Test
    void namesAreFoundWhereverTheyAreDeclared() {
        String source =
                "record Ticket(int payoff) { void ask(List<String> offerings) { double softLimit = 1; } } // seat";
        assertThat(declaredNames(source)).containsExactlyInAnyOrder("Ticket", "payoff", "ask", "offerings",
                "softLimit");
        assertThat(holds("payoffAsked", "payoff")).isTrue();
        assertThat(holds("MOST_TICKETS", "ticket")).isTrue();
        assertThat(holds("shortestSoftLimit", "softLimit")).isTrue();
        assertThat(holds("lifetime", "life")).isFalse();
    }

    private static List<String> oldTerms() throws IOException {
        List<String> terms = new ArrayList<>();
        for (String line : Files.readAllLines(GLOSSARY)) {
            String[] cells = line.split("\\|");
            if (cells.length > 3) {
                QUOTED.matcher(cells[2]).results().forEach(match -> terms.add(match.group(1)));
            }
        }
        return terms;
    }

    private static List<Path> finishedSources() throws IOException {
        String page = Files.readString(GLOSSARY);
        Matcher packages = QUOTED.matcher(page.substring(page.indexOf("## Finished packages")));
        List<Path> sources = new ArrayList<>();
        while (packages.find()) {
            for (String root : List.of("src/main/java", "src/test/java")) {
                Path folder = Path.of(root, packages.group(1).split("\\."));
                if (Files.isDirectory(folder)) {
                    try (Stream<Path> files = Files.list(folder)) {
                        files.filter(file -> file.toString().endsWith(".java")).forEach(sources::add);
                    }
                } else {
                    assertThat(root).as("no folder of " + packages.group(1)).isEqualTo("src/test/java");
                }
            }
        }
        assertThat(sources).isNotEmpty();
        return sources;
    }

    private static List<String> declaredNames(String source) {
        List<String> names = new ArrayList<>();
        Matcher declared = DECLARED.matcher(NOT_CODE.matcher(source).replaceAll(" "));
        while (declared.find()) {
            if (!NO_TYPE.matcher(declared.group(1)).matches()) {
                names.add(declared.group(2));
            }
        }
        return names;
    }

    /** Whether the words of the term follow each other in the name, the last one perhaps in the plural. */
    private static boolean holds(String name, String term) {
        return Pattern.compile("(^|_)" + words(term) + "s?(_|$)").matcher(words(name)).find();
    }

    private static String words(String name) {
        return name.replaceAll("([a-z0-9])([A-Z])", "$1_$2").toLowerCase(Locale.ROOT);
    }
}
