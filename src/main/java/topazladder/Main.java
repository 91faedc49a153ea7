package topazladder;

import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.net.MalformedURLException;
import java.net.URISyntaxException;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import topazladder.config.ExtensionSettings;

/**
 * Entry point. The two plain commands, {@code serve} and {@code wirehost}, are started here, on nothing but the
 * libraries they need; all else goes to the command line, whose libraries are put on the class path only then, as each
 * would cost the plain commands a file descriptor.
 */
public final class Main {
    private static final String COMMANDS_CLASS = "topazladder.cli.Commands";
    private static final String COMMAND_LINE_LIBRARY_CLASS = "picocli.CommandLine";
    /** Beside the program's own archive. */
    private static final List<String> LIBRARY_FOLDERS = List.of("lib", "extra");

    private Main() {}

    /** Runs the command that the arguments name. */
    public static void main(String[] args) throws Exception {
        switch (args.length == 1 ? args[0] : "") {
            case "serve" -> Launch.serve(() -> ExtensionSettings.NONE);
            case "wirehost" -> Launch.wirehost();
            default -> runCommandLine(args);
        }
    }

    private static void runCommandLine(String[] args) throws Exception {
        ClassLoader loader = commandLineLoader();
        Thread.currentThread().setContextClassLoader(loader);
        try {
            Class.forName(COMMANDS_CLASS, true, loader).getMethod("main", String[].class).invoke(null, (Object) args);
        } catch (InvocationTargetException e) {
            throw e.getCause()instanceof Exception cause ? cause : e;
        }
    }

    private static ClassLoader commandLineLoader() throws IOException {
        ClassLoader own = Main.class.getClassLoader();
        try {
            Class.forName(COMMAND_LINE_LIBRARY_CLASS, false, own);
            return own;
        } catch (ClassNotFoundException e) {
            return loaderOfAllLibraries();
        }
    }

    /** Loads the whole program anew, beside all libraries: parts of it that are loaded already could not see them. */
    private static ClassLoader loaderOfAllLibraries() throws IOException {
        List<URL> urls = new ArrayList<>();
        try {
            Path program = Path.of(Main.class.getProtectionDomain().getCodeSource().getLocation().toURI());
            urls.add(program.toUri().toURL());
            for (String folder : LIBRARY_FOLDERS) {
                addLibraries(program.resolveSibling(folder), folder, urls);
            }
        } catch (URISyntaxException | MalformedURLException e) {
            throw new IOException("the program does not know where it lies", e);
        }
        return new URLClassLoader(urls.toArray(URL[]::new), ClassLoader.getPlatformClassLoader());
    }

    private static void addLibraries(Path path, String folder, List<URL> urls) throws IOException {
        if (!Files.isDirectory(path)) {
            System.err.println(
                    "topazladder: the folder " + folder + " is missing beside the program; build it anew");
            System.exit(2);
        }
        try (Stream<Path> files = Files.list(path)) {
            for (Path file : (Iterable<Path>) files.sorted()::iterator) {
                urls.add(file.toUri().toURL());
            }
        }
    }
}
